import type { AgentRun } from './agentRun.js';
import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { taskName, type TaskRef } from './jobSpec.js';
import type { EventLoopLag } from './eventLoopLag.js';
import type { ReadyStep } from './readySteps.js';
import type { SessionContext } from './sessionContext.js';
import type { DurationForecast, RunForecast } from './durationForecast.js';
import type { RunRecord } from './workflowRecords.js';

/** Multiple of the expected duration after which a speculative copy is started. */
const COPY_FACTOR = 1.8;

/** Standard deviations above the expected duration from which a copy is likely to end first. */
const COPY_DEVIATIONS = 1.65;

/** Maximum multiple for copies, as work that nothing is known about is copied at last. */
const MAX_COPY_FACTOR = 6;

/** Added to this limit, for the network latency of orders and reports. */
const COPY_MARGIN_MS = 200;

/** Multiple of the expected duration after which a run is considered stalled. */
const STALL_FACTOR = 5;

/** Standard deviations above the expected duration that a stalled run has exceeded. */
const STALL_DEVIATIONS = 3;
const MAX_STALL_FACTOR = 20;

/** Added to this limit. */
const STALL_MARGIN_MS = 3000;

/** Returns the multiple of the expected duration that work of a spread seldom exceeds. */
function toFactor(spread: number, deviations: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, Math.exp(deviations * spread)));
}

/** Detects runs that take much longer than expected or whose endpoint is unresponsive. */
export class StragglerDetector {
  private readonly context: SessionContext;
  private readonly directory: EndpointDirectory;
  private readonly durations: DurationForecast;
  private readonly loopLag: EventLoopLag;

  /** @param loopLag - Delay with which this process sees ends; not counted as run time. */
  constructor(
    context: SessionContext,
    directory: EndpointDirectory,
    durations: DurationForecast,
    loopLag: EventLoopLag,
  ) {
    this.context = context;
    this.directory = directory;
    this.durations = durations;
    this.loopLag = loopLag;
  }

  /** Returns whether a speculative copy is likely to end before a run. */
  isSuspect(task: TaskRef, { run, endpoint }: RunRecord): boolean {
    const agent = this.directory.find(endpoint);
    if (!agent || !this.directory.isResponsive(agent)) return true;
    const activeRun = agent.runs.get(`${taskName(task)}:${run}`);
    return activeRun !== undefined && this.isSlow(agent, activeRun);
  }

  /** Returns the jobs with slow runs that may be copied. */
  findSlowJobs(): Set<string> {
    const ids = new Set<string>();
    for (const agent of this.directory.list()) {
      for (const run of agent.runs.values()) {
        const spec = this.context.state.findSpec(run.task);
        if (spec?.allowsCopies && this.isSlow(agent, run)) ids.add(run.task.jobId);
      }
    }
    return ids;
  }

  /** Returns stalled runs, which should be stopped so that their tasks restart. */
  findStalled(): { agent: EndpointAgent; run: AgentRun }[] {
    const stalled: { agent: EndpointAgent; run: AgentRun }[] = [];
    for (const agent of this.directory.list()) {
      for (const run of agent.runs.values()) {
        const spec = this.context.state.findSpec(run.task);
        const canStall = spec && !spec.isService && !spec.isGang && !spec.fillsIdleCapacity;
        if (!canStall || run.isStopping || run.phase !== 'running') continue;
        const { expectedMs, spread } = this.forecast(agent, run.task);
        const factor = toFactor(spread, STALL_DEVIATIONS, STALL_FACTOR, MAX_STALL_FACTOR);
        // The limit grows with each restart, in case the expectation is too low.
        const limitMs = expectedMs * factor * run.run + STALL_MARGIN_MS;
        if (this.elapsedMs(run) > limitMs) stalled.push({ agent, run });
      }
    }
    return stalled;
  }

  /** Returns the monotonic time at which the dependencies of a step are expected to have ended. */
  expectedReadyMs({ job, occurrence, spec }: ReadyStep): number {
    let endMs = 0;
    for (const step of spec.dependsOn) {
      const tasks = this.context.state.findStep(job, occurrence, step)?.tasks ?? [];
      for (const [index, { runs }] of tasks.entries()) {
        const name = taskName({ jobId: job.id, occurrence, step, index });
        for (const { run, endpoint } of runs) {
          const agent = this.directory.find(endpoint);
          const activeRun = agent?.runs.get(`${name}:${run}`);
          if (!agent || !activeRun) continue;
          const { expectedMs } = this.forecast(agent, activeRun.task);
          endMs = Math.max(endMs, activeRun.orderedMs + expectedMs);
        }
      }
    }
    return endMs;
  }

  private isSlow(agent: EndpointAgent, run: AgentRun): boolean {
    const { expectedMs, spread } = this.forecast(agent, run.task);
    const factor = toFactor(spread, COPY_DEVIATIONS, COPY_FACTOR, MAX_COPY_FACTOR);
    return this.elapsedMs(run) > expectedMs * factor + COPY_MARGIN_MS;
  }

  private elapsedMs({ orderedMs }: AgentRun): number {
    return performance.now() - orderedMs - this.loopLag.maxMs;
  }

  /** Returns the expected duration on an endpoint of this kind; 0 for an unknown job. */
  private forecast({ record }: EndpointAgent, task: TaskRef): RunForecast {
    const { state, timing } = this.context;
    const job = state.jobs.get(task.jobId);
    const spec = job?.spec.steps[task.step];
    if (!job || !spec) return { expectedMs: 0, spread: 0 };
    const { expectedMs, spread } = this.durations.forecast(job, task, record.kind);
    const farFactor = spec.dataRack === '' ? 1 : timing.farFactor;
    return { expectedMs: expectedMs * farFactor, spread };
  }
}
