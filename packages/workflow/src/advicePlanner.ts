import type { CellConfig } from './cellConfig.js';
import type { ReadySteps } from './readySteps.js';
import type { SessionContext } from './sessionContext.js';
import type { StepScheduler } from './stepScheduler.js';
import type { StragglerWatch } from './stragglerWatch.js';
import type { SubmitCommand } from './workflowCommand.js';
import type { JobRecord } from './workflowRecords.js';
import { createJob } from './workflowState.js';

/** Options of an {@link AdvicePlanner}. */
export interface AdvicePlannerOptions {
  context: SessionContext;
  ready: ReadySteps;
  scheduler: StepScheduler;
  stragglers: StragglerWatch;
}

/** Time by which advice is asked for ahead of its use, beyond the advisor's own. */
const ADVICE_LEAD_MS = 1000;

/** Asks for advice on steps that cannot start yet, so that they need not wait for it later. */
export class AdvicePlanner {
  private readonly opts: AdvicePlannerOptions;

  constructor(opts: AdvicePlannerOptions) {
    this.opts = opts;
  }

  /** Asks for the first steps of a job while it is being recorded. */
  prepareFirst(command: SubmitCommand): void {
    const { context, ready, scheduler } = this.opts;
    const queue = context.readConfig()?.queues.find(({ name }) => name === command.queue);
    if (!queue?.advice || command.spec.schedule) return;
    for (const step of ready.listFirst(createJob(command))) scheduler.prepare(step, queue);
  }

  /** Asks for the steps of a job that come next, if the ones before them end soon. */
  prepareNext(job: JobRecord, config: CellConfig): void {
    const { ready, scheduler, stragglers } = this.opts;
    if (job.status !== 'open' || job.spec.steps.length < 2) return;
    const queue = config.queues.find(({ name }) => name === job.queue);
    if (!queue?.advice) return;
    const { decideMs, validMs } = queue.advice;
    for (const step of ready.listUpcoming(job)) {
      const waitMs = stragglers.expectStepEnd(step) - performance.now();
      // Tickets must outlive the wait.
      const leadMs = Math.min(ADVICE_LEAD_MS, validMs / 2);
      if (waitMs < decideMs + leadMs) scheduler.prepare(step, queue);
    }
  }

  /** Does so for all jobs. */
  prepareAll(): void {
    const config = this.opts.context.readConfig();
    if (!config) return;
    for (const job of this.opts.context.state.jobs.values()) this.prepareNext(job, config);
  }
}
