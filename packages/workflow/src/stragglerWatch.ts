import type { AgentRun, EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { taskName, type StepSpec, type TaskRef } from './jobSpec.js';
import type { LoopLag } from './loopLag.js';
import type { ReadyStep } from './readySteps.js';
import type { SessionContext } from './sessionContext.js';
import type { SpeedLearner } from './speedLearner.js';
import type { RunRecord } from './workflowRecords.js';

/** Multiple of the expected duration after which a copy is started. */
const COPY_FACTOR = 1.8;

/** Added to it, for the way of orders and reports. */
const COPY_MARGIN_MS = 200;

/** Multiple of the expected duration after which a run without copies is restarted. */
const STALL_FACTOR = 5;

/** Added to it. */
const STALL_MARGIN_MS = 3000;

/** Finds runs that take much longer than expected, or whose endpoint is out of touch. */
export class StragglerWatch {
  private readonly context: SessionContext;
  private readonly directory: EndpointDirectory;
  private readonly speeds: SpeedLearner;
  private readonly lag: LoopLag;

  /** @param lag - How late this process learns of ends; such time is not held against runs. */
  constructor(
    context: SessionContext,
    directory: EndpointDirectory,
    speeds: SpeedLearner,
    lag: LoopLag,
  ) {
    this.context = context;
    this.directory = directory;
    this.speeds = speeds;
    this.lag = lag;
  }

  /** Tells whether a copy of a run is likely to end before it. */
  isDoubtful(task: TaskRef, { run, endpoint }: RunRecord): boolean {
    const agent = this.directory.find(endpoint);
    if (!agent || !this.directory.isInTouch(agent)) return true;
    const known = agent.runs.get(`${taskName(task)}:${run}`);
    const spec = this.context.state.findSpec(task);
    return known !== undefined && spec !== undefined && this.isSlow(agent, known, spec);
  }

  /** Jobs with runs of which a copy may be started now. */
  findJobs(): Set<string> {
    const ids = new Set<string>();
    for (const agent of this.directory.list()) {
      for (const run of agent.runs.values()) {
        const spec = this.context.state.findSpec(run.task);
        if (spec?.allowsCopies && this.isSlow(agent, run, spec)) ids.add(run.task.jobId);
      }
    }
    return ids;
  }

  /** Runs that should be stopped, as they would never end. */
  findStalled(): { agent: EndpointAgent; run: AgentRun }[] {
    const stalled: { agent: EndpointAgent; run: AgentRun }[] = [];
    for (const agent of this.directory.list()) {
      for (const run of agent.runs.values()) {
        const spec = this.context.state.findSpec(run.task);
        const mayStall = spec && !spec.isService && !spec.isGang && !spec.fillsIdleCapacity;
        if (!mayStall || run.isStopping || run.phase !== 'running') continue;
        // Each restart allows for more time, in case the estimate was wrong.
        const limitMs = this.expectMs(agent, spec) * STALL_FACTOR * run.run + STALL_MARGIN_MS;
        if (this.elapsedMs(run) > limitMs) stalled.push({ agent, run });
      }
    }
    return stalled;
  }

  /** Monotonic time at which the steps before a step are expected to have ended. */
  expectStepEnd({ job, occurrence, spec }: ReadyStep): number {
    let endMs = 0;
    for (const step of spec.dependsOn) {
      const earlier = job.spec.steps[step]!;
      const tasks = this.context.state.findStep(job, occurrence, step)?.tasks ?? [];
      for (const [index, { runs }] of tasks.entries()) {
        const name = taskName({ jobId: job.id, occurrence, step, index });
        for (const { run, endpoint } of runs) {
          const agent = this.directory.find(endpoint);
          const known = agent?.runs.get(`${name}:${run}`);
          if (!agent || !known) continue;
          endMs = Math.max(endMs, known.orderedMs + this.expectMs(agent, earlier));
        }
      }
    }
    return endMs;
  }

  private isSlow(agent: EndpointAgent, run: AgentRun, spec: StepSpec): boolean {
    const limitMs = this.expectMs(agent, spec) * COPY_FACTOR + COPY_MARGIN_MS;
    return this.elapsedMs(run) > limitMs;
  }

  private elapsedMs({ orderedMs }: AgentRun): number {
    return performance.now() - orderedMs - this.lag.ms;
  }

  private expectMs({ record }: EndpointAgent, spec: StepSpec): number {
    const farFactor = spec.dataRack === '' ? 1 : this.context.timing.farFactor;
    return spec.estimateMs * this.speeds.kindFactor(record.kind) * farFactor;
  }
}
