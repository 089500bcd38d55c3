import type { AgentRun } from './agentRun.js';
import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { taskName, type StepSpec, type TaskRef } from './jobSpec.js';
import type { EventLoopLag } from './eventLoopLag.js';
import type { ReadyStep } from './readySteps.js';
import type { SessionContext } from './sessionContext.js';
import type { DurationEstimator } from './durationEstimator.js';
import type { RunRecord } from './workflowRecords.js';

/** Multiple of the expected duration after which a speculative copy is started. */
const COPY_FACTOR = 1.8;

/** Added to this limit, for the network latency of orders and reports. */
const COPY_MARGIN_MS = 200;

/** Multiple of the expected duration after which a run is considered stalled. */
const STALL_FACTOR = 5;

/** Added to this limit. */
const STALL_MARGIN_MS = 3000;

/** Detects runs that take much longer than expected or whose endpoint is unresponsive. */
export class StragglerDetector {
  private readonly context: SessionContext;
  private readonly directory: EndpointDirectory;
  private readonly durations: DurationEstimator;
  private readonly loopLag: EventLoopLag;

  /** @param loopLag - Delay with which this process sees ends; not counted as run time. */
  constructor(
    context: SessionContext,
    directory: EndpointDirectory,
    durations: DurationEstimator,
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
    const spec = this.context.state.findSpec(task);
    return activeRun !== undefined && spec !== undefined && this.isSlow(agent, activeRun, spec);
  }

  /** Returns the jobs with slow runs that may be copied. */
  findSlowJobs(): Set<string> {
    const ids = new Set<string>();
    for (const agent of this.directory.list()) {
      for (const run of agent.runs.values()) {
        const spec = this.context.state.findSpec(run.task);
        if (spec?.allowsCopies && this.isSlow(agent, run, spec)) ids.add(run.task.jobId);
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
        // The limit grows with each restart, in case the estimate is too low.
        const limitMs =
          this.expectedDurationMs(agent, spec) * STALL_FACTOR * run.run + STALL_MARGIN_MS;
        if (this.elapsedMs(run) > limitMs) stalled.push({ agent, run });
      }
    }
    return stalled;
  }

  /** Returns the monotonic time at which the dependencies of a step are expected to have ended. */
  expectedReadyMs({ job, occurrence, spec }: ReadyStep): number {
    let endMs = 0;
    for (const step of spec.dependsOn) {
      const dependency = job.spec.steps[step]!;
      const tasks = this.context.state.findStep(job, occurrence, step)?.tasks ?? [];
      for (const [index, { runs }] of tasks.entries()) {
        const name = taskName({ jobId: job.id, occurrence, step, index });
        for (const { run, endpoint } of runs) {
          const agent = this.directory.find(endpoint);
          const activeRun = agent?.runs.get(`${name}:${run}`);
          if (!agent || !activeRun) continue;
          endMs = Math.max(endMs, activeRun.orderedMs + this.expectedDurationMs(agent, dependency));
        }
      }
    }
    return endMs;
  }

  private isSlow(agent: EndpointAgent, run: AgentRun, spec: StepSpec): boolean {
    const limitMs = this.expectedDurationMs(agent, spec) * COPY_FACTOR + COPY_MARGIN_MS;
    return this.elapsedMs(run) > limitMs;
  }

  private elapsedMs({ orderedMs }: AgentRun): number {
    return performance.now() - orderedMs - this.loopLag.maxMs;
  }

  private expectedDurationMs({ record }: EndpointAgent, spec: StepSpec): number {
    const farFactor = spec.dataRack === '' ? 1 : this.context.timing.farFactor;
    return spec.estimateMs * this.durations.kindFactor(record.kind) * farFactor;
  }
}
