import { CrashDetector, type EndpointCrash } from './crashDetector.js';
import { isAsLate, MIN_SUSPICION, PROMPT_CRASH_MS, type CrashEvidence } from './crashRecord.js';
import { estimateSuspicion } from './crashSuspicion.js';
import type { AgentRun } from './agentRun.js';
import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { EndpointFailures, FAILURE_MEMORY_MS, type FailureInterval } from './endpointFailures.js';
import { taskName, type TaskRef } from './jobSpec.js';
import { isPrompt, Quarantine, suspectUnit } from './quarantine.js';
import type { SessionContext } from './sessionContext.js';
import type { EndedRun } from './workflowCommand.js';
import type { EndpointRecord } from './workflowRecords.js';

/** Options of a {@link CrashAttribution}. */
export interface CrashAttributionOptions {
  context: SessionContext;
  directory: EndpointDirectory;
  /** Returns whether this cell has ordered the end of an endpoint. */
  isUnderMaintenance: (instance: string) => boolean;
  /** Called when an endpoint that was in quarantine accepts other tasks again. */
  onReleased: () => void;
  /** Called for a job when crashes of its tasks are committed after the ends of the runs. */
  onCharged: (jobId: string) => void;
}

/** Runs that were lost with their lease on an endpoint that may have crashed. */
interface ExpiredRuns extends FailureInterval {
  record: EndpointRecord;
  runs: AgentRun[];
  /** Keys of the runs that were on trial. */
  trials: Set<string>;
}

/** Expected number of random failures in the time of a run from which one explains a crash. */
const MAX_EXPECTED_FAILURES = 0.05;

/** The same for prompt crashes, fewer of which convict. */
const MAX_EXPECTED_FAILURES_IF_PROMPT = 0.01;

/** The same for a series of crashes on several instances, each of which has to be by chance. */
const MAX_EXPECTED_FAILURES_IN_SERIES = 0.25;

/** Number of crashes in a series from which the task explains them. */
const MIN_EXPLAINING_SERIES = 3;

/** Share of the suspicion that remains if the crash is likely to have another cause. */
const EXCUSED_FACTOR = 0.1;

/** Time from the start of a run to a crash up to which it stays suspected in any case. */
const IMMEDIATE_CRASH_MS = 200;

/** Returns whether an earlier leader has started a run, so that its start time is not known. */
function isAdopted({ phase, confirmedMs }: AgentRun): boolean {
  return phase === 'running' && confirmedMs === undefined;
}

/** Decides which runs may have caused the crash of their endpoint. */
export class CrashAttribution implements Disposable {
  readonly quarantine: Quarantine;
  private readonly opts: CrashAttributionOptions;
  private readonly detector: CrashDetector;
  private readonly failures: EndpointFailures;
  private expired: readonly ExpiredRuns[] = [];
  /** Names of the tasks of the expired runs. */
  private expiredTasks: ReadonlySet<string> = new Set();

  constructor(opts: CrashAttributionOptions) {
    this.opts = opts;
    const { context, directory, isUnderMaintenance, onReleased } = opts;
    this.detector = new CrashDetector(context, isUnderMaintenance);
    this.failures = new EndpointFailures(context, directory);
    const presume = (task: TaskRef) => this.presume(task);
    this.quarantine = new Quarantine({
      context,
      directory,
      presume,
      hasPresumed: () => this.expired.length > 0,
      onReleased,
      countFailures: (instance) => this.failures.countUnexplained(instance),
    });
  }

  /** Returns the evidence against the runs that were lost, by key; empty if it was no crash. */
  handleLoss(agent: EndpointAgent, runs: AgentRun[], reason: string): Map<string, CrashEvidence> {
    this.forgetOld();
    if (reason === 'the lease expired') {
      const end = agent.describeEnd();
      const { id: endpoint, record } = agent;
      if (!end.wasLeaving) {
        const keys = runs.map(({ key }) => key).filter((key) => this.quarantine.isOnTrial(key));
        const trials = new Set(keys);
        this.setExpired([...this.expired, { ...end, endpoint, record, runs, trials }]);
      }
      return new Map();
    }
    const crash = this.detector.detect(agent, runs, reason);
    return crash ? this.attribute(crash, (key) => this.quarantine.isOnTrial(key)) : new Map();
  }

  /** Commits the crashes of runs whose lease had expired before their endpoint was back. */
  handleRegistration(record: EndpointRecord): void {
    const isPredecessor = ({ record: other }: ExpiredRuns): boolean =>
      other.bornMs < record.bornMs &&
      (other.id === record.id ||
        other.address === record.address ||
        (other.instance !== '' && other.instance === record.instance));
    const matching = this.expired.filter(isPredecessor);
    if (matching.length === 0) return;
    this.setExpired(this.expired.filter((entry) => !matching.includes(entry)));
    const runs = matching.flatMap((entry) => this.describeEnds(entry));
    if (runs.length === 0) return;
    const { context, onCharged } = this.opts;
    context
      .propose({ type: 'end', runs })
      .then(() => new Set(runs.map(({ task }) => task.jobId)).forEach(onCharged))
      .catch((err: Error) => context.logger.warn('failed to record crashes', { err: err.message }));
  }

  /** Discards the expired runs of an endpoint that did not crash. */
  handleResponse(agent: EndpointAgent): void {
    if (agent.isSuspect) return;
    const isOther = ({ record }: ExpiredRuns): boolean =>
      record.id !== agent.id || record.bornMs !== agent.record.bornMs;
    this.setExpired(this.expired.filter(isOther));
  }

  [Symbol.dispose](): void {
    this.quarantine[Symbol.dispose]();
  }

  private attribute(
    crash: EndpointCrash,
    wasOnTrial: (key: string) => boolean,
  ): Map<string, CrashEvidence> {
    const { noticedMs, runs } = crash;
    const hasCommonCause = this.failures.hasCommonCause(crash);
    const failureRate = this.failures.estimateRate();
    const onTrial = hasCommonCause ? [] : runs.filter(({ key }) => wasOnTrial(key));
    const culprits = hasCommonCause
      ? []
      : this.findCulprits(crash, onTrial, failureRate).filter(
          (run) => !this.mayBeOfInstance(crash, run),
        );
    const suspects = culprits.length > 0 ? culprits : runs;
    const suspicions = this.estimate(suspects, noticedMs);
    const isExplained =
      culprits.some((run) => this.isRepeated(run, noticedMs)) ||
      runs.some((run) => this.continuesSeries(run, crash));
    this.failures.add(crash, isExplained);
    const evidence = new Map<string, CrashEvidence>();
    for (const run of suspects) {
      const elapsedMs = Math.round(noticedMs - run.orderedMs);
      const isImmediate = !isAdopted(run) && elapsedMs <= IMMEDIATE_CRASH_MS;
      const isAtOnce = run.confirmedMs !== undefined && elapsedMs <= PROMPT_CRASH_MS;
      const expectedFailures = elapsedMs * failureRate;
      const isExcused = hasCommonCause || expectedFailures > MAX_EXPECTED_FAILURES;
      evidence.set(run.key, {
        suspicion: suspicions.get(run.key)! * (isExcused && !isImmediate ? EXCUSED_FACTOR : 1),
        exposureMs: isAdopted(run) ? undefined : elapsedMs,
        isPrompt:
          isAtOnce &&
          // Outside of quarantine, repetition is weaker evidence.
          (culprits.length === 0 || onTrial.length > 0) &&
          expectedFailures <= MAX_EXPECTED_FAILURES_IF_PROMPT,
        isSoleCause: culprits.length > 0,
        isExcused,
        instance: expectedFailures > MAX_EXPECTED_FAILURES_IN_SERIES ? undefined : crash.instance,
      });
    }
    this.report(crash, evidence);
    return evidence;
  }

  /**
   * Returns the runs of the one suspect that explains a crash: it was on trial, or its task crashes
   * endpoints about as late after each start. Empty if there are none or several of them.
   */
  private findCulprits(
    { runs, noticedMs }: EndpointCrash,
    onTrial: AgentRun[],
    failureRate: number,
  ): AgentRun[] {
    if (onTrial.length > 0) return this.countUnits(onTrial) === 1 ? onTrial : [];
    const crashesOf = ({ task }: AgentRun): number =>
      this.opts.context.state.findCrashes(task)?.count ?? 0;
    const repeated = runs.filter(
      (run) =>
        crashesOf(run) > 0 &&
        (noticedMs - run.orderedMs) * failureRate <= MAX_EXPECTED_FAILURES &&
        this.isRepeated(run, noticedMs),
    );
    // Tasks that were lost together may be on the same endpoint again, but rarely several times.
    const most = Math.max(...repeated.map(crashesOf));
    const likeliest = repeated.filter((run) => crashesOf(run) === most);
    // A run that had just started explains the crash better.
    const isFresh = ({ orderedMs }: AgentRun): boolean =>
      noticedMs - orderedMs <= IMMEDIATE_CRASH_MS;
    const hasBetter = runs.some((run) => isFresh(run) && !likeliest.includes(run));
    return this.countUnits(likeliest) === 1 && !hasBetter ? likeliest : [];
  }

  /** Returns whether a run crashed its endpoint about as late as its task did before. */
  private isRepeated({ task, orderedMs }: AgentRun, crashMs: number): boolean {
    const earlierMs = this.opts.context.state.findCrashes(task)?.exposureMs ?? 0;
    return isAsLate(crashMs - orderedMs, earlierMs);
  }

  /** Returns whether the crash belongs to a series of crashes that the task of a run explains. */
  private continuesSeries(run: AgentRun, { instance, noticedMs }: EndpointCrash): boolean {
    const series = this.opts.context.state.findCrashes(run.task)?.series;
    if (!series || !isAsLate(noticedMs - run.orderedMs, series.exposureMs)) return false;
    return instance !== series.instance && series.count + 1 >= MIN_EXPLAINING_SERIES;
  }

  /**
   * Returns whether the instance may have failed by itself, as it did before under the same task,
   * unless the crash came at once.
   */
  private mayBeOfInstance({ instance, noticedMs }: EndpointCrash, run: AgentRun): boolean {
    if (noticedMs - run.orderedMs <= IMMEDIATE_CRASH_MS) return false;
    return this.failures.hasUnexplained(instance, taskName(run.task));
  }

  private describeEnds(entry: ExpiredRuns): EndedRun[] {
    const end = { ...entry, wasLeaving: false };
    const crash = this.detector.describe(entry.record, entry.runs, end);
    const evidence = crash
      ? this.attribute(crash, (key) => entry.trials.has(key))
      : new Map<string, CrashEvidence>();
    return entry.runs.flatMap(({ key, task, run }) => {
      const found = evidence.get(key);
      return found ? [{ task, run, outcome: 'lost' as const, crash: found }] : [];
    });
  }

  /** Returns the suspicion of a task whose run is, or was, on an endpoint that does not answer. */
  private presume(task: TaskRef): { suspicion: number; exposureMs: number } | undefined {
    const { context, directory } = this.opts;
    const active = context.state.findTask(task)?.runs ?? [];
    if (active.length === 0 && this.expired.length === 0) return undefined;
    const name = taskName(task);
    for (const { run, endpoint } of active) {
      const agent = directory.find(endpoint);
      const found = agent?.isSuspect
        ? this.presumeOn([...agent.runs.values()], `${name}:${run}`, agent.silentSinceMs)
        : undefined;
      if (found) return found;
    }
    if (!this.expiredTasks.has(name)) return undefined;
    for (const { runs, noticedMs } of this.expired) {
      const run = runs.find((it) => it.name === name);
      const found = run && this.presumeOn(runs, run.key, noticedMs);
      if (found) return found;
    }
    return undefined;
  }

  private presumeOn(
    runs: AgentRun[],
    key: string,
    silentSinceMs: number,
  ): { suspicion: number; exposureMs: number } | undefined {
    const run = runs.find((it) => it.key === key);
    if (!run || isAdopted(run) || !isPrompt(run, silentSinceMs)) return undefined;
    const present = runs.filter(({ orderedMs }) => orderedMs < silentSinceMs);
    const suspicion = this.estimate(present, silentSinceMs).get(key) ?? 0;
    if (suspicion < MIN_SUSPICION) return undefined;
    return { suspicion, exposureMs: silentSinceMs - run.orderedMs };
  }

  private estimate(runs: AgentRun[], crashMs: number): Map<string, number> {
    return estimateSuspicion(
      runs.map((run) => ({
        key: run.key,
        exposureMs: Math.max(crashMs - run.orderedMs, isAdopted(run) ? PROMPT_CRASH_MS : 0),
        priorCrashes: this.opts.context.state.findCrashes(run.task)?.count ?? 0,
      })),
    );
  }

  /** Returns the number of different tasks; a gang counts as one. */
  private countUnits(runs: AgentRun[]): number {
    const { state } = this.opts.context;
    const units = runs.map(({ task }) => suspectUnit(task, state.findSpec(task)?.isGang ?? false));
    return new Set(units).size;
  }

  private report({ endpoint }: EndpointCrash, evidence: Map<string, CrashEvidence>): void {
    const suspects = [...evidence]
      .filter(([, { suspicion }]) => suspicion >= MIN_SUSPICION)
      .sort(([, a], [, b]) => b.suspicion - a.suspicion)
      .map(([key, { suspicion, exposureMs }]) => `${key} ${suspicion.toFixed(2)} ${exposureMs} ms`);
    const [first] = evidence.values();
    this.opts.context.logger.warn('crash attributed', {
      endpoint,
      isExcused: first?.isExcused,
      isSoleCause: first?.isSoleCause,
      suspects: suspects.join(),
    });
  }

  private forgetOld(): void {
    const oldestMs = performance.now() - FAILURE_MEMORY_MS;
    this.setExpired(this.expired.filter(({ noticedMs }) => noticedMs > oldestMs));
  }

  private setExpired(expired: readonly ExpiredRuns[]): void {
    this.expired = expired;
    this.expiredTasks = new Set(expired.flatMap(({ runs }) => runs.map(({ name }) => name)));
  }
}
