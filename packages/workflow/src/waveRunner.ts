import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { InstanceApi } from './instanceApi.js';
import { taskName, type TaskRef } from './jobSpec.js';
import type { SessionContext } from './sessionContext.js';
import type { WaveRecord } from './workflowRecords.js';

/** Options of a {@link WaveRunner}. */
export interface WaveRunnerOptions {
  context: SessionContext;
  directory: EndpointDirectory;
  instances: InstanceApi;
  /** Identifies this instance in calls to the platform. */
  holder: string;
}

/** Delay before maintenance of the same instance is requested again. */
const MAINTENANCE_RETRY_MS = 1000;

/** Time after the maintenance within which the endpoint is expected to report again. */
const RETURN_MARGIN_MS = 2000;

/**
 * Runs maintenance waves: takes down a bounded number of instances at a time, and only those whose
 * loss keeps the unavailable tasks of each service within its limit.
 */
export class WaveRunner {
  private readonly opts: WaveRunnerOptions;
  private readonly downSince = new Map<string, number>();
  private readonly nextAttemptMs = new Map<string, number>();
  private isAdvancing = false;

  constructor(opts: WaveRunnerOptions) {
    this.opts = opts;
  }

  /** Advances all open waves by one step; called periodically. */
  async advance(): Promise<void> {
    if (this.isAdvancing) return;
    this.isAdvancing = true;
    try {
      for (const wave of this.opts.context.state.waves.values()) {
        if (!wave.isCompleted) await this.advanceWave(wave);
      }
    } finally {
      this.isAdvancing = false;
    }
  }

  /** Returns whether the maintenance of an instance has begun and may not be over yet. */
  isUnderMaintenance(instance: string): boolean {
    const { state, timing } = this.opts.context;
    const downMs = performance.now() - (this.downSince.get(instance) ?? -Infinity);
    if (downMs < timing.maintenanceMs + RETURN_MARGIN_MS) return true;
    // An earlier leader may have begun it.
    return [...state.waves.values()].some(
      ({ isCompleted, begun }) => !isCompleted && begun.includes(instance),
    );
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
      (instance) => nowMs >= (this.nextAttemptMs.get(instance) ?? 0) && this.canTakeDown(instance),
    );
    if (next !== undefined) await this.beginMaintenance(wave, next);
  }

  private async beginMaintenance(wave: WaveRecord, instance: string): Promise<void> {
    const { context, instances, holder } = this.opts;
    const { fencingToken, logger } = context;
    if (!context.isValid()) return;
    this.nextAttemptMs.set(instance, performance.now() + MAINTENANCE_RETRY_MS);
    const order = { instance, wave: wave.number, holder, fencingToken };
    const { isValid: isAllowed } = context;
    const outcome = await instances.beginMaintenance({ ...order, isAllowed });
    logger.info('maintenance requested', { ...order, outcome });
    // An instance that no longer exists needs no maintenance.
    if (outcome !== 'begun' && outcome !== 'refused') return;
    if (outcome === 'begun') this.downSince.set(instance, performance.now());
    await context.propose({ type: 'begin-maintenance', number: wave.number, instance });
  }

  private findAgent(instance: string): EndpointAgent | undefined {
    return this.opts.directory.list().find(({ record }) => record.instance === instance);
  }

  /** Returns whether an instance is down; it is until its endpoint has had time to report again. */
  private isDown(instance: string): boolean {
    const { context, directory } = this.opts;
    const sinceMs = this.downSince.get(instance);
    const agent = this.findAgent(instance);
    const isBack = agent !== undefined && directory.isResponsive(agent);
    if (sinceMs === undefined) return !isBack;
    const elapsedMs = performance.now() - sinceMs;
    if (elapsedMs < context.timing.maintenanceMs) return true;
    return !isBack && elapsedMs < context.timing.maintenanceMs + RETURN_MARGIN_MS;
  }

  /** Returns whether all services tolerate the loss of their tasks on the instance. */
  private canTakeDown(instance: string): boolean {
    const agent = this.findAgent(instance);
    if (!agent) return true;
    const lossByStep = new Map<string, number>();
    for (const { task } of agent.runs.values()) {
      const spec = this.opts.context.state.findSpec(task);
      if (!spec?.isService) continue;
      const key = `${task.jobId}.${task.step}`;
      const loss = (lossByStep.get(key) ?? 0) + 1;
      lossByStep.set(key, loss);
      if (loss + this.countUnavailable(task, agent.id) > spec.maxUnavailable) return false;
    }
    return true;
  }

  /** Returns how many tasks of a step are not known to be at work, but for those on an endpoint. */
  private countUnavailable({ jobId, step }: TaskRef, except: string): number {
    const { context } = this.opts;
    const job = context.state.jobs.get(jobId);
    if (job?.status !== 'open') return 0;
    let count = 0;
    for (const record of job.steps.values()) {
      if (record.step !== step) continue;
      for (const [index, { runs }] of record.tasks.entries()) {
        if (runs.some(({ endpoint }) => endpoint === except)) continue;
        const name = taskName({ jobId, occurrence: record.occurrence, step, index });
        if (!runs.some(({ run, endpoint }) => this.isRunAvailable(endpoint, `${name}:${run}`))) {
          count += 1;
        }
      }
    }
    return count;
  }

  private isRunAvailable(endpoint: string, key: string): boolean {
    const { directory, context } = this.opts;
    const agent = directory.find(endpoint);
    const run = agent?.runs.get(key);
    if (!agent || !run || !directory.isResponsive(agent)) return false;
    const downMs = performance.now() - (this.downSince.get(agent.record.instance) ?? -Infinity);
    if (downMs < context.timing.maintenanceMs) return false;
    return run.isAtWork;
  }
}
