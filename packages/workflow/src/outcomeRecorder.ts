import type { HealthPolicy } from '@lagoongap/routing/healthPolicy.js';

import type { DurationForecast } from './durationForecast.js';
import type { AgentRun } from './agentRun.js';
import type { EndpointAgent } from './endpointAgent.js';
import type { EndReport } from './endpointDriver.js';
import { stepName, type TaskRef } from './jobSpec.js';
import type { StepScheduler } from './stepScheduler.js';

/** Options of an {@link OutcomeRecorder}. */
export interface OutcomeRecorderOptions {
  health: HealthPolicy;
  durations: DurationForecast;
  scheduler: StepScheduler;
}

/** Records what the ends of runs tell about endpoints: health, durations, failures of a step. */
export class OutcomeRecorder {
  private readonly opts: OutcomeRecorderOptions;

  constructor(opts: OutcomeRecorderOptions) {
    this.opts = opts;
  }

  /**
   * Records the end of a run as reported by its endpoint.
   *
   * @returns Duration to learn from, if the run tells anything about its work.
   */
  recordEnd(agent: EndpointAgent, run: AgentRun, report: EndReport): number | undefined {
    const { health, durations } = this.opts;
    const attempt = { attemptId: run.key, unitId: run.task.jobId, endpointId: agent.id };
    if (report.outcome === 'done') health.recordSuccess(attempt);
    else if (report.outcome === 'failed') health.recordFailure(attempt);
    else health.recordAbandoned(attempt);
    if (report.outcome === 'failed') this.recordFailure(agent, run.task);
    const isMeasurable = report.outcome === 'done' && run.confirmedMs !== undefined;
    if (!isMeasurable || agent.warmup.wasColdAfter(run.confirmedMs!)) return undefined;
    return durations.record(agent, run);
  }

  /**
   * Records runs that ended without a report; does not affect the health of the endpoint. A crash is
   * no failure of the endpoint either, so that its step does not move on to the next one.
   */
  recordLoss(agent: EndpointAgent, runs: AgentRun[], wasCrash: boolean): void {
    for (const { key, task } of runs) {
      const attempt = { attemptId: key, unitId: task.jobId, endpointId: agent.id };
      this.opts.health.recordAbandoned(attempt);
      if (!wasCrash) this.recordFailure(agent, task);
    }
  }

  /** Records a failed or stalled run, so that its step prefers other endpoints. */
  recordFailure(agent: EndpointAgent, task: TaskRef): void {
    this.opts.scheduler.recordFailure(stepName(task.jobId, task.occurrence, task.step), agent.id);
  }
}
