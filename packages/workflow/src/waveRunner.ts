import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { InstanceApi } from './instanceApi.js';
import { taskName } from './jobSpec.js';
import type { SessionContext } from './sessionContext.js';
import type { WaveRecord } from './workflowRecords.js';

/** Options of a {@link WaveRunner}. */
export interface WaveRunnerOptions {
  context: SessionContext;
  directory: EndpointDirectory;
  instances: InstanceApi;
  /** Names this instance towards the platform. */
  holder: string;
}

/** Pause before the platform is asked for the same instance again. */
const RETRY_MS = 1000;

/** Time after its start in which a task does not count as at work yet. */
const STARTUP_MS = 2000;

/** Margin on the time that maintenance takes, for the endpoint to report again. */
const RETURN_MARGIN_MS = 2000;

/**
 * Carries out maintenance waves: a bounded number of instances at a time, and never one whose
 * tasks would leave more of a service unavailable than it allows.
 */
export class WaveRunner {
  private readonly opts: WaveRunnerOptions;
  private readonly downSince = new Map<string, number>();
  private readonly nextTryMs = new Map<string, number>();
  private isBusy = false;

  constructor(opts: WaveRunnerOptions) {
    this.opts = opts;
  }

  /** Takes the next step of each open wave; to be called from time to time. */
  async advance(): Promise<void> {
    if (this.isBusy) return;
    this.isBusy = true;
    try {
      for (const wave of this.opts.context.state.waves.values()) {
        if (!wave.isCompleted) await this.advanceWave(wave);
      }
    } finally {
      this.isBusy = false;
    }
  }

  private async advanceWave(wave: WaveRecord): Promise<void> {
    const { context } = this.opts;
    const waiting = wave.instances.filter((instance) => !wave.begun.includes(instance));
    if (waiting.length === 0) {
      await context.propose({ type: 'close-wave', number: wave.number });
      context.logger.info('wave is completed', { wave: wave.number });
      return;
    }
    const down = wave.begun.filter((instance) => this.isDown(instance)).length;
    if (down >= wave.maxDown) return;
    const nowMs = performance.now();
    const next = waiting.find(
      (instance) => nowMs >= (this.nextTryMs.get(instance) ?? 0) && this.isSpareable(instance),
    );
    if (next !== undefined) await this.begin(wave, next);
  }

  private async begin(wave: WaveRecord, instance: string): Promise<void> {
    const { context, instances, holder } = this.opts;
    const { fencingToken, logger } = context;
    if (!context.isValid()) return;
    this.nextTryMs.set(instance, performance.now() + RETRY_MS);
    const order = { instance, wave: wave.number, holder, fencingToken };
    const outcome = await instances.beginMaintenance(order);
    logger.info('maintenance was asked for', { ...order, outcome });
    // An instance that does not exist any more has nothing left to be maintained.
    if (outcome !== 'begun' && outcome !== 'refused') return;
    if (outcome === 'begun') this.downSince.set(instance, performance.now());
    await context.propose({ type: 'begin-maintenance', number: wave.number, instance });
  }

  private findAgent(instance: string): EndpointAgent | undefined {
    return this.opts.directory.list().find(({ record }) => record.instance === instance);
  }

  /** An instance is down until its endpoint has had time to report from its new life. */
  private isDown(instance: string): boolean {
    const { context, directory } = this.opts;
    const sinceMs = this.downSince.get(instance);
    const agent = this.findAgent(instance);
    const isBack = agent !== undefined && directory.isInTouch(agent);
    if (sinceMs === undefined) return !isBack;
    const elapsedMs = performance.now() - sinceMs;
    if (elapsedMs < context.timing.maintenanceMs) return true;
    return !isBack && elapsedMs < context.timing.maintenanceMs + RETURN_MARGIN_MS;
  }

  /** Tells whether every service with a task there can do without it. */
  private isSpareable(instance: string): boolean {
    const agent = this.findAgent(instance);
    if (!agent) return true;
    const lossByStep = new Map<string, number>();
    for (const { task } of agent.runs.values()) {
      const spec = this.opts.context.state.findSpec(task);
      if (!spec?.isService) continue;
      const key = `${task.jobId}.${task.step}`;
      const loss = (lossByStep.get(key) ?? 0) + 1;
      lossByStep.set(key, loss);
      if (loss + this.countUnavailable(task.jobId, task.step) > spec.maxUnavailable) return false;
    }
    return true;
  }

  private countUnavailable(jobId: string, step: number): number {
    const { context } = this.opts;
    const job = context.state.jobs.get(jobId);
    if (job?.status !== 'open') return 0;
    let count = 0;
    for (const record of job.steps.values()) {
      if (record.step !== step) continue;
      for (const [index, { runs }] of record.tasks.entries()) {
        const name = taskName({ jobId, occurrence: record.occurrence, step, index });
        if (!runs.some(({ run, endpoint }) => this.isAtWork(endpoint, `${name}:${run}`))) {
          count += 1;
        }
      }
    }
    return count;
  }

  private isAtWork(endpoint: string, key: string): boolean {
    const { directory, context } = this.opts;
    const agent = directory.find(endpoint);
    const run = agent?.runs.get(key);
    if (!agent || !run || !directory.isInTouch(agent)) return false;
    const downMs = performance.now() - (this.downSince.get(agent.record.instance) ?? -Infinity);
    if (downMs < context.timing.maintenanceMs) return false;
    return performance.now() - run.confirmedMs > STARTUP_MS;
  }
}
