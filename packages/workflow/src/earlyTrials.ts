import type { HealthPolicy } from '@lagoongap/routing/healthPolicy.js';

import type { QueuePolicy } from './cellConfig.js';
import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { allowsDataCentre } from './queueRegions.js';
import type { ReadyStep, ReadySteps } from './readySteps.js';
import type { SessionContext } from './sessionContext.js';
import type { StepScheduler } from './stepScheduler.js';

/** Options of {@link EarlyTrials}. */
export interface EarlyTrialsOptions {
  context: SessionContext;
  directory: EndpointDirectory;
  health: HealthPolicy;
  ready: ReadySteps;
  scheduler: StepScheduler;
}

/**
 * Requests trials of ejected endpoints for work that no other endpoint may run. A probation that
 * doubles with each ejection would keep such work waiting long after the endpoint is sound.
 */
export class EarlyTrials {
  private readonly opts: EarlyTrialsOptions;

  constructor(opts: EarlyTrialsOptions) {
    this.opts = opts;
  }

  /** Requests the trials that the waiting steps need; called periodically. */
  request(): void {
    const { context, directory, health, ready } = this.opts;
    const ejected = directory.listEjected();
    const config = context.readConfig();
    if (ejected.length === 0 || !config) return;
    const queues = new Map(config.queues.map((queue) => [queue.name, queue]));
    const available = new Map<string, EndpointAgent[]>();
    for (const step of ready.list()) {
      const queue = queues.get(step.job.queue);
      if (queue === undefined) continue;
      const { pool } = queue;
      const others = available.get(pool) ?? directory.listAvailable(pool);
      available.set(pool, others);
      if (others.some((agent) => this.mayRun(step, agent, queue))) continue;
      for (const agent of ejected) {
        const mayRun = agent.record.pool === pool && this.mayRun(step, agent, queue);
        if (mayRun) health.requestTrial(agent.id);
      }
    }
  }

  private mayRun(
    { name, spec }: ReadyStep,
    { id, record }: EndpointAgent,
    queue: QueuePolicy,
  ): boolean {
    const hasLabel = spec.requiredLabel === '' || record.labels.includes(spec.requiredLabel);
    const isAllowed = hasLabel && allowsDataCentre(queue, record.dataCentre);
    return isAllowed && !this.opts.scheduler.isUnsuitable(name, id);
  }
}
