import type { AgentRun } from './agentRun.js';
import type { EndpointAgent } from './endpointAgent.js';
import { readSubmittedDuration, type DurationReader } from './criticalPaths.js';
import { DurationEstimator } from './durationEstimator.js';
import { EndpointSpeeds, type LogExpectation } from './endpointSpeeds.js';
import type { EventLoopLag } from './eventLoopLag.js';
import { stepName, type StepSpec, type TaskRef } from './jobSpec.js';
import type { SessionContext } from './sessionContext.js';
import type { EndpointRecord, JobRecord } from './workflowRecords.js';

/** Time for which an expectation is used again, as one is needed for each step in each cycle. */
const CACHE_MS = 250;

/** Part of the duration of a run by which the event loop may have delayed the report of its end. */
const MAX_LAG_SHARE = 0.2;

/** Expected duration of a task on an endpoint, and the limits of what is usual. */
export interface RunForecast {
  expectedMs: number;
  /** Standard deviation of the logarithm of the duration; 0 if nothing is known about it. */
  spread: number;
}

interface CachedExpectation extends LogExpectation {
  medianMs: number;
  /** Monotonic time. */
  untilMs: number;
}

/**
 * Expected durations as a leader uses them: the replicated model of the work, the speed of endpoints,
 * and the runs of the same step that have ended. If learned durations are switched off, the submitted
 * estimates are used, corrected by kind of endpoint; the model goes on learning.
 */
export class DurationForecast {
  /** Reads the expected durations of the steps of a job on an endpoint of average speed. */
  readonly reader: DurationReader;
  private readonly context: SessionContext;
  private readonly loopLag: EventLoopLag;
  private readonly speeds = new EndpointSpeeds();
  private readonly former = new DurationEstimator();
  private readonly cache = new WeakMap<StepSpec, CachedExpectation>();
  private readonly isLearned: boolean;

  /** @param loopLag - Delay with which this process sees ends. */
  constructor(context: SessionContext, loopLag: EventLoopLag) {
    this.context = context;
    this.loopLag = loopLag;
    this.isLearned = context.features.has('learned-durations');
    this.reader = this.isLearned
      ? ({ job }, index) => this.expect(job, job.spec.steps[index]!).medianMs
      : readSubmittedDuration;
  }

  /** Returns the expected duration of a task on a kind of endpoint. */
  forecast(job: JobRecord, task: Omit<TaskRef, 'index'>, kind: string): RunForecast {
    const spec = job.spec.steps[task.step]!;
    if (!this.isLearned) {
      return { expectedMs: spec.estimateMs * this.former.kindFactor(kind), spread: 0 };
    }
    const name = stepName(job.id, task.occurrence, task.step);
    const { logMs, variance } = this.speeds.refine(name, this.expect(job, spec));
    const factor = this.context.state.durations.kindFactor(kind);
    return { expectedMs: Math.exp(logMs) * factor, spread: Math.sqrt(variance) };
  }

  /** Returns the expected duration on an endpoint as a multiple of that on an average one. */
  durationFactor(endpoint: string, kind: string): number {
    if (!this.isLearned) return this.former.durationFactor(endpoint, kind);
    return this.context.state.durations.kindFactor(kind) * this.speeds.factorOf(endpoint);
  }

  /**
   * Records a successful run.
   *
   * @returns Its duration for the replicated model, without the effect of the endpoint; undefined if
   * the run tells nothing about the work.
   */
  record(agent: EndpointAgent, run: AgentRun): number | undefined {
    const { state, timing } = this.context;
    const job = state.jobs.get(run.task.jobId);
    const spec = job?.spec.steps[run.task.step];
    // An adopted run has no time of confirmation; a later one may resume from a checkpoint.
    if (!spec || run.confirmedMs === undefined || run.run !== 1) return undefined;
    if (spec.isService || spec.fillsIdleCapacity || spec.dataRack !== '') return undefined;
    const durationMs = performance.now() - run.confirmedMs;
    this.former.record(agent.id, agent.record.kind, spec.estimateMs, durationMs);
    if (this.loopLag.maxMs > durationMs * MAX_LAG_SHARE) return undefined;
    // The members of a gang end together, and those of a spread one are slower.
    const isSpread = spec.isRackLocal && timing.farFactor !== 1;
    if (spec.isGang && (isSpread || run.task.index > 0)) return undefined;
    return this.recordOn(agent.record, job, run.task, durationMs);
  }

  private recordOn(
    { id, kind }: EndpointRecord,
    job: JobRecord,
    { occurrence, step }: TaskRef,
    durationMs: number,
  ): number {
    const effect = Math.log(this.context.state.durations.kindFactor(kind));
    const logMs = Math.log(Math.max(1, durationMs)) - effect;
    const expected = this.expect(job, job.spec.steps[step]!);
    const name = stepName(job.id, occurrence, step);
    const logWork = this.speeds.record(id, name, logMs, expected);
    return Math.max(1, Math.round(Math.exp(logWork + effect)));
  }

  private expect({ queue, organisation }: JobRecord, spec: StepSpec): CachedExpectation {
    const nowMs = performance.now();
    const known = this.cache.get(spec);
    if (known && nowMs < known.untilMs) return known;
    const { medianMs, spread } = this.context.state.durations.expect({ queue, organisation, spec });
    const expectation = {
      medianMs,
      logMs: Math.log(Math.max(1, medianMs)),
      variance: spread * spread,
      untilMs: nowMs + CACHE_MS,
    };
    this.cache.set(spec, expectation);
    return expectation;
  }
}
