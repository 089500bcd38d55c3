import type { WaitingSteps } from '@lagoongap/telemetry/workflowMetricsRecorder.js';

import type { DurationForecast } from './durationForecast.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { LatenessMonitor } from './latenessMonitor.js';
import type { ReadySteps } from './readySteps.js';
import type { SessionContext } from './sessionContext.js';

/**
 * Reports the endpoints, the configuration in force, and the steps that are ready to start with
 * the time for which they have been, by queue priority.
 */
export class SessionMetrics {
  private readonly context: SessionContext;
  private readonly ready: ReadySteps;
  private readonly directory: EndpointDirectory;
  private readonly lateness: LatenessMonitor;
  /** Monotonic time since which a step has been ready. */
  private sinceMs = new Map<string, number>();

  constructor(
    context: SessionContext,
    ready: ReadySteps,
    directory: EndpointDirectory,
    durations: DurationForecast,
  ) {
    this.context = context;
    this.ready = ready;
    this.directory = directory;
    this.lateness = new LatenessMonitor(context, ready, durations);
  }

  /** Updates all metrics; called periodically. */
  update(): void {
    const { meter, state } = this.context;
    const agents = this.directory.list();
    const available = agents.filter((agent) => this.directory.isResponsive(agent)).length;
    meter.setEndpoints(available, agents.length);
    meter.setEvacuations(state.evacuations.list().length, this.directory.listEvacuated().length);
    const nowMs = performance.now();
    meter.setColdEndpoints(agents.filter(({ warmup }) => warmup.isCold(nowMs)).length);
    if (state.config) meter.setConfigVersion(state.config.version);
    this.updateWaitingSteps();
  }

  private updateWaitingSteps(): void {
    const config = this.context.readConfig();
    if (!config) return;
    const nowMs = performance.now();
    const priorities = new Map(config.queues.map(({ name, priority }) => [name, priority]));
    const waiting = new Map<number, WaitingSteps>();
    for (const priority of priorities.values()) {
      waiting.set(priority, { steps: 0, tasks: 0, longestWaitMs: 0 });
    }
    const sinceMs = new Map<string, number>();
    for (const step of this.ready.list()) {
      const startMs = this.sinceMs.get(step.name) ?? nowMs;
      sinceMs.set(step.name, startMs);
      const total = waiting.get(priorities.get(step.job.queue) ?? NaN);
      if (!total) continue;
      total.steps += 1;
      total.tasks += step.waiting.length;
      total.longestWaitMs = Math.max(total.longestWaitMs, nowMs - startMs);
    }
    this.sinceMs = sinceMs;
    this.context.meter.setWaitingSteps(waiting);
    this.lateness.update(config);
  }
}
