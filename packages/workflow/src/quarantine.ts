import { harmlessAfterMs, isSuspected, PROMPT_CRASH_MS } from './crashRecord.js';
import type { AgentRun } from './agentRun.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { stepName, taskName, type TaskRef } from './jobSpec.js';
import type { ReadyStep } from './readySteps.js';
import type { SessionContext } from './sessionContext.js';

/** A run of a suspected task, alone with runs that have proved harmless. */
interface Trial {
  endpoint: string;
  stepName: string;
  suspicion: number;
  windowMs: number;
}

/** Suspicion of a task, and how long its next run is watched. */
interface Suspicion {
  suspicion: number;
  exposureMs: number;
}

/** How a task is placed: in quarantine, or beside any other. */
export type PlacementMode = 'trial' | 'open';

/** Options of a {@link Quarantine}. */
export interface QuarantineOptions {
  context: SessionContext;
  directory: EndpointDirectory;
  /** Returns the suspicion of a task whose run is on an endpoint that does not answer. */
  presume: (task: TaskRef) => Suspicion | undefined;
  /** Returns whether tasks without a run may be presumed to have caused a failure. */
  hasPresumed: () => boolean;
  /** Returns how often an instance failed recently without a run that explains it. */
  countFailures: (instance: string) => number;
  /** Called when an endpoint accepts other tasks again. */
  onReleased: () => void;
}

/** Time without a start after which the runs of an endpoint have proved harmless. */
const SETTLE_MS = 200;

/** Number of start times that are kept before those of settled endpoints are deleted. */
const MAX_START_TIMES = 1000;

/** Longest time for which an endpoint accepts no other tasks. */
const MAX_TRIAL_MS = 1000;

/** Time for which a suspected task waits for an endpoint that it has to itself. */
const MAX_WAIT_MS = 1000;

/** Number of simultaneous trials of a step before the first one has proved harmless. */
const FIRST_TRIALS = 2;

/** Expected number of endpoints that crash in trials, as a share of those available. */
const MAX_EXPECTED_CRASH_SHARE = 0.35;

/** Lower bound for tasks that are likely to crash, so that the others are cleared meanwhile. */
const MAX_LIKELY_CRASH_SHARE = 0.2;

/** Suspicion from which a task is likely to crash its endpoint. */
const LIKELY_SUSPICION = 0.3;

/** Time between two such trials, so that crashes at the same moment have another cause. */
const TRIAL_INTERVAL_MS = 100;

/** Cost of a trial beside runs whose loss is worse than that of others. */
const DAMAGE_LOAD = 100;

/** Cost of a trial on an instance for each recent failure. */
const FAILURE_LOAD = 10;

/** Time after the trial window at which it is checked whether the endpoint still responds. */
const RELEASE_MARGIN_MS = 10;

/**
 * Places tasks that are suspected of crashing endpoints so that the next crash has one explanation:
 * on an endpoint with no other suspect, and without other starts until the run has proved harmless.
 * Bounds the number of endpoints that such trials may crash at the same time.
 */
export class Quarantine {
  private readonly opts: QuarantineOptions;
  private readonly trials = new Map<string, Trial>();
  private readonly trialsByEndpoint = new Map<string, Set<string>>();
  /** Endpoints of the runs whose tasks may have caused a crash before, by key. */
  private readonly suspects = new Map<string, string>();
  private readonly suspectsByEndpoint = new Map<string, Set<string>>();
  /** Monotonic time of the latest decision to start a run, by endpoint. */
  private readonly lastStartMs = new Map<string, number>();
  /** Number of trials that ended without a crash, by step. */
  private readonly clearedCounts = new Map<string, number>();
  /** Monotonic time since which suspected tasks wait, by step and index. */
  private readonly waitingSinceMs = new Map<string, Map<number, number>>();
  /** Monotonic time of the latest trial that was likely to end with a crash. */
  private lastTrialMs = -Infinity;
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(opts: QuarantineOptions) {
    this.opts = opts;
  }

  /** Returns the waiting tasks of a step that have to start in quarantine. */
  listSuspects(step: ReadyStep): Set<number> {
    const record = this.opts.context.state.findStep(step.job, step.occurrence, step.step);
    const mayBePresumed = this.opts.hasPresumed();
    const suspects = new Set<number>();
    if (!record) return suspects;
    for (const index of step.waiting) {
      const { crashes, runs } = record.tasks[index]!;
      // Most tasks have no crash behind them, nor a run whose endpoint does not answer.
      if (!crashes && runs.length === 0 && !mayBePresumed) continue;
      if (this.assess(step, index)) suspects.add(index);
    }
    return suspects;
  }

  /**
   * Returns how a suspected task may start now, the preferred way first. Rather than wait for long,
   * it starts beside others; a crash is then told by its repetition.
   */
  listModes(step: ReadyStep, index: number): PlacementMode[] {
    return this.listModesFor(step, index, this.suspicionOf(step, index));
  }

  /** Returns the same for a gang, which starts as its most suspected member may. */
  listGangModes(step: ReadyStep, suspects: ReadonlySet<number>): PlacementMode[] {
    const suspicions = [...suspects].map((index) => this.suspicionOf(step, index));
    // The members wait together, so that the first one stands for all of them.
    return this.listModesFor(step, 0, Math.max(...suspicions));
  }

  private listModesFor(step: ReadyStep, index: number, suspicion: number): PlacementMode[] {
    const nowMs = performance.now();
    const times = this.waitingSinceMs.get(step.name) ?? new Map<number, number>();
    const sinceMs = times.get(index) ?? nowMs;
    this.waitingSinceMs.set(step.name, times.set(index, sinceMs));
    const hasWaited = nowMs - sinceMs >= MAX_WAIT_MS;
    if (this.mayBegin(step, suspicion)) return hasWaited ? ['trial', 'open'] : ['trial'];
    return hasWaited && suspicion < LIKELY_SUSPICION ? ['open'] : [];
  }

  /** Returns whether a run is being watched. */
  isOnTrial(key: string): boolean {
    return this.trials.has(key) && !this.isOver(key);
  }

  /** Returns whether an endpoint accepts tasks that are not suspected. */
  isOpen(endpoint: string): boolean {
    if (this.trials.size === 0) return true;
    const keys = this.trialsByEndpoint.get(endpoint);
    return !keys || [...keys].every((key) => this.isOver(key));
  }

  /** Returns whether a suspected task of a step may start on an endpoint. */
  isIsolated(endpoint: string, { name, spec }: ReadyStep): boolean {
    const agent = this.opts.directory.find(endpoint);
    if (!agent) return false;
    const keys = [...(this.trialsByEndpoint.get(endpoint) ?? [])];
    const others = keys.filter((key) => !this.isOver(key));
    if (others.length > 0) {
      // The members of a gang count as one suspect.
      return spec.isGang && others.every((key) => this.trials.get(key)?.stepName === name);
    }
    const settledMs = performance.now() - SETTLE_MS;
    if ((this.lastStartMs.get(endpoint) ?? -Infinity) > settledMs) return false;
    return [...agent.runs.values()].every(
      ({ phase, orderedMs }) => phase === 'running' && orderedMs <= settledMs,
    );
  }

  /**
   * Returns by how much an endpoint is less suitable than others for a task that has crashed, in
   * units of its load: a crash would end services or whole gangs, or might have another cause.
   */
  costOfTrial(endpoint: string): number {
    const { context, directory, countFailures } = this.opts;
    const agent = directory.find(endpoint);
    if (!agent) return 0;
    const endangersMore = [...agent.runs.values()].some(({ task }) => {
      const spec = context.state.findSpec(task);
      return spec?.isService || spec?.isGang;
    });
    return (endangersMore ? DAMAGE_LOAD : 0) + countFailures(agent.record.instance) * FAILURE_LOAD;
  }

  /** Returns whether a waiting task of a step was present at a crash before. */
  hasCrashed(step: ReadyStep): boolean {
    const record = this.opts.context.state.findStep(step.job, step.occurrence, step.step);
    return step.waiting.some((index) => record?.tasks[index]?.crashes !== undefined);
  }

  /** Returns the number of runs on an endpoint whose tasks may have caused a crash before. */
  countSuspects(endpoint: string): number {
    return this.suspectsByEndpoint.get(endpoint)?.size ?? 0;
  }

  /** Returns whether the fleet can bear another trial now, and the step has few unfinished ones. */
  private mayBegin(step: ReadyStep, suspicion: number): boolean {
    const active = [...this.trials].filter(([key]) => !this.isOver(key));
    const ofStep = active.filter(([, trial]) => trial.stepName === step.name);
    // The tasks of a step run the same program, so that the first ones tell about the others; those
    // of a service must not wait for each other.
    const maxTrials = FIRST_TRIALS * (1 + (this.clearedCounts.get(step.name) ?? 0));
    if (!step.spec.isService && ofStep.length >= maxTrials) return false;
    if (active.length === 0) return true;
    const nowMs = performance.now();
    if (suspicion >= LIKELY_SUSPICION && nowMs - this.lastTrialMs < TRIAL_INTERVAL_MS) return false;
    const expected = active.reduce((sum, [, trial]) => sum + this.expectedCrashes(trial), 0);
    const share = suspicion >= LIKELY_SUSPICION ? MAX_LIKELY_CRASH_SHARE : MAX_EXPECTED_CRASH_SHARE;
    return expected + suspicion <= Math.max(1, share * this.countResponsive());
  }

  /** Records the decision to start a run, which is watched if it is a trial. */
  recordStart(
    step: ReadyStep,
    index: number,
    { key, endpoint, isTrial }: { key: string; endpoint: string; isTrial: boolean },
  ): void {
    const nowMs = performance.now();
    if (this.lastStartMs.size >= MAX_START_TIMES) this.forgetStarts(nowMs);
    this.lastStartMs.set(endpoint, nowMs);
    const times = this.waitingSinceMs.get(step.name);
    if (times?.delete(index) && times.size === 0) this.waitingSinceMs.delete(step.name);
    const task = { jobId: step.job.id, occurrence: step.occurrence, step: step.step, index };
    this.recordSuspect(task, key, endpoint);
    const known = isTrial ? this.assess(step, index) : undefined;
    if (known) this.add(key, step.name, endpoint, known);
  }

  /** Continues to watch a run that an earlier leader has started. */
  adopt({ key, task }: AgentRun, endpoint: string): void {
    this.recordSuspect(task, key, endpoint);
    const history = this.opts.context.state.findCrashes(task);
    if (!history || !isSuspected(history)) return;
    if (harmlessAfterMs(history.exposureMs) > MAX_TRIAL_MS) return;
    this.add(key, stepName(task.jobId, task.occurrence, task.step), endpoint, history);
  }

  /** Ends the watch over a run that has ended, successfully or not. */
  end(key: string, isDone: boolean): void {
    this.forgetSuspect(key);
    const trial = this.trials.get(key);
    if (!trial) return;
    this.remove(key, trial);
    if (isDone) this.countCleared(trial.stepName);
    this.opts.onReleased();
  }

  /** Discards what is known about a step that has ended. */
  forgetStep(step: string): void {
    this.clearedCounts.delete(step);
    this.waitingSinceMs.delete(step);
  }

  [Symbol.dispose](): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }

  private suspicionOf(step: ReadyStep, index: number): number {
    return this.assess(step, index)?.suspicion ?? 0;
  }

  private assess({ job, occurrence, step }: ReadyStep, index: number): Suspicion | undefined {
    const task = { jobId: job.id, occurrence, step, index };
    const history = this.opts.context.state.findCrashes(task);
    const suspicion = isSuspected(history) ? history : this.opts.presume(task);
    // Later crashes are told by their repetition; no endpoint is kept free for so long.
    const isWatchable = suspicion && harmlessAfterMs(suspicion.exposureMs) <= MAX_TRIAL_MS;
    return isWatchable ? suspicion : undefined;
  }

  private recordSuspect(task: TaskRef, key: string, endpoint: string): void {
    if (!this.opts.context.state.findCrashes(task)?.count) return;
    this.suspects.set(key, endpoint);
    const keys = this.suspectsByEndpoint.get(endpoint) ?? new Set();
    this.suspectsByEndpoint.set(endpoint, keys.add(key));
  }

  private forgetSuspect(key: string): void {
    const endpoint = this.suspects.get(key);
    if (endpoint === undefined) return;
    this.suspects.delete(key);
    const keys = this.suspectsByEndpoint.get(endpoint);
    keys?.delete(key);
    if (keys?.size === 0) this.suspectsByEndpoint.delete(endpoint);
  }

  private forgetStarts(nowMs: number): void {
    for (const [endpoint, startMs] of this.lastStartMs) {
      if (nowMs - startMs > SETTLE_MS) this.lastStartMs.delete(endpoint);
    }
  }

  private add(key: string, step: string, endpoint: string, known: Suspicion): void {
    const windowMs = harmlessAfterMs(known.exposureMs);
    if (known.suspicion >= LIKELY_SUSPICION) this.lastTrialMs = performance.now();
    this.trials.set(key, { endpoint, stepName: step, suspicion: known.suspicion, windowMs });
    const keys = this.trialsByEndpoint.get(endpoint) ?? new Set();
    this.trialsByEndpoint.set(endpoint, keys.add(key));
    this.checkAfter(key, windowMs);
  }

  /** Releases the endpoint of a trial as soon as its window has passed. */
  private checkAfter(key: string, delayMs: number): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      const trial = this.trials.get(key);
      if (!trial) return;
      if (!this.isOver(key)) {
        this.checkAfter(key, SETTLE_MS);
        return;
      }
      this.remove(key, trial);
      this.countCleared(trial.stepName);
      this.opts.onReleased();
    }, delayMs + RELEASE_MARGIN_MS);
    this.timers.add(timer);
  }

  private remove(key: string, { endpoint }: Trial): void {
    this.trials.delete(key);
    const keys = this.trialsByEndpoint.get(endpoint);
    keys?.delete(key);
    if (keys?.size === 0) this.trialsByEndpoint.delete(endpoint);
  }

  private countCleared(step: string): void {
    this.clearedCounts.set(step, (this.clearedCounts.get(step) ?? 0) + 1);
  }

  /** Returns whether a run has been on a responsive endpoint for its whole trial window. */
  private isOver(key: string): boolean {
    const trial = this.trials.get(key);
    if (!trial) return true;
    const agent = this.opts.directory.find(trial.endpoint);
    const run = agent?.runs.get(key);
    if (!agent || !run || agent.isSuspect || run.phase !== 'running') return false;
    // The run was on the incarnation that has ended.
    if (run.orderedMs <= (agent.previousEnd?.noticedMs ?? -Infinity)) return false;
    const sinceMs = Math.max(run.orderedMs, run.confirmedMs ?? -Infinity);
    return performance.now() - sinceMs > trial.windowMs;
  }

  private expectedCrashes({ endpoint, suspicion }: Trial): number {
    const agent = this.opts.directory.find(endpoint);
    return !agent || agent.isSuspect ? 1 : suspicion;
  }

  private countResponsive(): number {
    const { directory } = this.opts;
    return directory.list().filter((agent) => directory.isResponsive(agent)).length;
  }
}

/** Returns whether a run had started shortly before its endpoint stopped to answer. */
export function isPrompt({ orderedMs }: AgentRun, silentSinceMs: number): boolean {
  return orderedMs <= silentSinceMs && silentSinceMs - orderedMs <= PROMPT_CRASH_MS;
}

/** Returns the unit that counts as one suspect: a task, or a gang as a whole. */
export function suspectUnit(task: TaskRef, isGang: boolean): string {
  return isGang ? stepName(task.jobId, task.occurrence, task.step) : taskName(task);
}
