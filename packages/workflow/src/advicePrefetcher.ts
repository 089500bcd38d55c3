import type { CellConfig } from './cellConfig.js';
import type { ReadySteps } from './readySteps.js';
import { runInSlices } from './runInSlices.js';
import type { SessionContext } from './sessionContext.js';
import type { StepScheduler } from './stepScheduler.js';
import type { StragglerDetector } from './stragglerDetector.js';
import type { SubmitCommand } from './workflowCommand.js';
import type { JobRecord } from './workflowRecords.js';
import { createJob } from './workflowState.js';

/** Options of an {@link AdvicePrefetcher}. */
export interface AdvicePrefetcherOptions {
  context: SessionContext;
  ready: ReadySteps;
  scheduler: StepScheduler;
  stragglers: StragglerDetector;
}

/** Time by which advice is requested ahead of its use, in addition to the advisor's latency. */
const PREFETCH_LEAD_MS = 1000;

/** Pause between two slices of a pass over all jobs, for calls and orders. */
const SLICE_PAUSE_MS = 8;

/** Requests advice for steps that cannot start yet, so that they do not wait for it later. */
export class AdvicePrefetcher {
  private readonly opts: AdvicePrefetcherOptions;
  private isPassing = false;

  constructor(opts: AdvicePrefetcherOptions) {
    this.opts = opts;
  }

  /** Requests advice for the initial steps of a job while its submission is being committed. */
  prefetchInitial(command: SubmitCommand): void {
    const { context, ready, scheduler } = this.opts;
    const queue = context.readConfig()?.queues.find(({ name }) => name === command.queue);
    if (!queue?.advice || command.spec.schedule) return;
    for (const step of ready.listInitial(createJob(command))) scheduler.prefetch(step, queue);
  }

  /** Requests advice for the upcoming steps of a job whose dependencies should end soon. */
  prefetchUpcoming(job: JobRecord, config: CellConfig): void {
    const { ready, scheduler, stragglers } = this.opts;
    if (job.status !== 'open' || job.spec.steps.length < 2) return;
    const queue = config.queues.find(({ name }) => name === job.queue);
    if (!queue?.advice) return;
    const { decideMs, validMs } = queue.advice;
    for (const step of ready.listUpcoming(job)) {
      const waitMs = stragglers.expectedReadyMs(step) - performance.now();
      // The tickets must still be valid when the step starts.
      const leadMs = Math.min(PREFETCH_LEAD_MS, validMs / 2);
      if (waitMs < decideMs + leadMs) scheduler.prefetch(step, queue);
    }
  }

  /** Requests advice for the upcoming steps of all jobs; does nothing while a pass is running. */
  async prefetchAll(): Promise<void> {
    const { context } = this.opts;
    const config = context.readConfig();
    if (!config || this.isPassing) return;
    this.isPassing = true;
    const prefetch = (job: JobRecord): void => this.prefetchUpcoming(job, config);
    try {
      await runInSlices(context.state.jobs.values(), prefetch, context.isValid, SLICE_PAUSE_MS);
    } finally {
      this.isPassing = false;
    }
  }
}
