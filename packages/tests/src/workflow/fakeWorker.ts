import type {
  ActiveRun,
  EndReport,
  InspectOrder,
  Inspection,
  RunOrder,
  StartOrder,
  StartOutcome,
} from '@lagoongap/workflow/endpointDriver.js';
import type { RunOutcome } from '@lagoongap/workflow/workflowRecords.js';

/** How a worker handles orders. */
export type WorkerBehaviour =
  'sound' | 'failing' | 'stalled' | 'silent' | 'crashed' | 'start-answers-lost' | 'starts-late';

/**
 * How a run goes on by itself: `ends` after its duration, `lasts` until it is stopped, or `crashes`
 * the worker.
 */
export type RunCourse = 'ends' | 'lasts' | 'crashes';

/** Receives events of a worker. */
export interface WorkerObserver {
  onStart(order: StartOrder): void;
  onEnd(report: EndReport): void;
  /** The leader has acknowledged a report. */
  onAcknowledged(report: EndReport): void;
  /** The lease has expired, after the ends of all runs. */
  onLeaseExpired?(): void;
}

interface WorkerRun {
  order: StartOrder;
  /** Monotonic time of the start. */
  startedMs: number;
  isStopping?: boolean;
  /** Monotonic time from which the run does its full work. */
  workFromMs: number;
  timer?: NodeJS.Timeout;
}

/** Longest lease that a worker accepts; longer ones are shortened. */
const MAX_LEASE_MS = 10_000;

/** Delay after which a late order is executed. */
const LATE_START_DELAY_MS = 3000;

/** Time from the start of a run to the crash that it causes. */
const CRASH_DELAY_MS = 10;

/** Simulated worker that executes orders on the fake clock. */
export class FakeWorker {
  readonly runs = new Map<string, WorkerRun>();
  /** All executed starts, as `<task>:<run>`. */
  readonly started: string[] = [];
  behaviour: WorkerBehaviour = 'sound';
  /** Duration of a task in milliseconds. */
  durationMs = 500;
  /** Outcome with which all start orders are rejected. */
  rejection: StartOutcome | undefined;
  /** Time from the start of a run until it does its full work. */
  startupMs = 0;
  /** Payloads of tasks that run until they are stopped. */
  readonly lastingPayloads = new Set<string>();
  /** Time from a stop order to the end of the run. */
  stopMs = 0;
  /** A run that is ordered to stop succeeds first. */
  finishesStopped = false;
  /** Stop orders are refused. */
  refusesStops = false;
  /** Load reported for every run. */
  load = 0;
  bornMs = 1;
  /** Longest lease; a longer one is shortened to it. */
  maxLeaseMs = MAX_LEASE_MS;
  /** Time for which the responses to start orders are held up, in milliseconds. */
  startResponseDelayMs = 0;
  /** Number of tasks that the worker can hold; it does not enforce the limit. */
  maxTasks = Infinity;
  /** Largest number of tasks above `maxTasks` right after a start. */
  maxExcess = 0;
  /** Returns the course of a run. */
  getCourse: (order: StartOrder) => RunCourse = () => 'ends';
  /** Called when a run crashes the worker. */
  onCrash: () => void = () => this.restart();
  observer: WorkerObserver | undefined;
  /** Address at which the worker can be reached; any address if absent. */
  address: string | undefined;
  /** Pooled connections that a crash has closed; each fails one inspection. */
  closedConnections = 0;
  /** Rows that the worker lists besides its runs. */
  otherRuns: ActiveRun[] = [];
  /** The rows of active runs cannot be read. */
  hasUnreadableRuns = false;
  private readonly supersededRuns = new Map<string, number>();
  private reports: EndReport[] = [];
  private nextReport = 1;
  private fence = 0;
  private untilMs = 0;
  /** Time on the local clock at which the worker's clock was 0. */
  private bootMs = 0;
  private leaseTimer: NodeJS.Timeout | undefined;
  private waiters: (() => void)[] = [];
  /** Durations of the tasks of certain payloads, instead of `durationMs`. */
  private readonly durationsMs: ReadonlyMap<string, number>;
  /** Start orders that the current incarnation has received but not executed yet. */
  private readonly lateStarts = new Set<NodeJS.Timeout>();

  /** Payloads of tasks that write a checkpoint when they are stopped. */
  private readonly checkpointingPayloads: ReadonlySet<string>;

  constructor(
    durationsMs: ReadonlyMap<string, number> = new Map(),
    checkpointingPayloads: ReadonlySet<string> = new Set(),
  ) {
    this.durationsMs = durationsMs;
    this.checkpointingPayloads = checkpointingPayloads;
  }

  /** Time on the worker's clock, which starts anew with each incarnation. */
  clockMs(): number {
    return Math.floor(performance.now() - this.bootMs);
  }

  start(order: StartOrder): StartOutcome {
    if (order.fencingToken < this.fence) return 'fenced';
    this.fence = order.fencingToken;
    const key = `${order.task}:${order.run}`;
    if (this.runs.has(key)) return 'started';
    if (order.run <= (this.supersededRuns.get(order.task) ?? 0)) return 'superseded';
    if (order.untilMs <= this.clockMs()) return 'late';
    this.renew(order.untilMs);
    const startupMs = this.behaviour === 'stalled' ? Infinity : this.startupMs;
    const startedMs = performance.now();
    const run: WorkerRun = { order, startedMs, workFromMs: startedMs + startupMs };
    this.runs.set(key, run);
    this.started.push(key);
    this.maxExcess = Math.max(this.maxExcess, this.runs.size - this.maxTasks);
    this.observer?.onStart(order);
    if (this.behaviour === 'stalled') return 'started';
    const isLasting = this.lastingPayloads.has(order.payload);
    const totalMs = this.durationsMs.get(order.payload) ?? this.durationMs;
    const durationMs = Math.max(0, totalMs - FakeWorker.readCheckpoint(order));
    const course = isLasting ? 'lasts' : this.getCourse(order);
    if (this.behaviour === 'failing' && !isLasting) {
      run.timer = setTimeout(() => this.end(key, 'failed'), durationMs);
    } else if (course === 'ends') {
      run.timer = setTimeout(() => this.end(key, 'done'), durationMs);
    } else if (course === 'crashes') {
      run.timer = setTimeout(() => this.onCrash(), CRASH_DELAY_MS);
    }
    return 'started';
  }

  /** Ends the runs of a lease that has expired although its timer has not fired yet. */
  checkLease(): void {
    if (this.leaseTimer && this.clockMs() >= this.untilMs) this.expireLease();
  }

  /** Executes an order after its sender has timed out. */
  startLate(order: StartOrder): void {
    const timer = setTimeout(() => {
      this.lateStarts.delete(timer);
      this.start(order);
    }, LATE_START_DELAY_MS);
    this.lateStarts.add(timer);
  }

  stop({ task, run, fencingToken }: RunOrder): boolean {
    if (fencingToken < this.fence) return false;
    this.fence = fencingToken;
    if (this.refusesStops) return false;
    this.supersededRuns.set(task, Math.max(run, this.supersededRuns.get(task) ?? 0));
    const key = `${task}:${run}`;
    const stopped = this.runs.get(key);
    if (this.finishesStopped) this.end(key, 'done');
    if (!stopped || this.stopMs === 0) this.end(key, 'stopped');
    else if (!stopped.isStopping) {
      stopped.isStopping = true;
      clearTimeout(stopped.timer);
      stopped.timer = setTimeout(() => this.end(key, 'stopped'), this.stopMs);
    }
    return true;
  }

  async inspect(order: InspectOrder): Promise<Inspection | undefined> {
    if (order.fencingToken < this.fence) return undefined;
    this.fence = order.fencingToken;
    const isAcknowledged = ({ number }: EndReport): boolean => number <= order.ackedReport;
    for (const report of this.reports.filter(isAcknowledged)) this.observer?.onAcknowledged(report);
    this.reports = this.reports.filter((report) => !isAcknowledged(report));
    if (order.untilMs !== undefined) this.renew(order.untilMs);
    if (this.reports.length === 0 && order.waitMs > 0) await this.waitForEnd(order.waitMs);
    const active: ActiveRun[] = [...this.runs.values()].map((it) => ({
      task: it.order.task,
      run: it.order.run,
      checkpoint: '',
      percent: FakeWorker.isAtWork(it) ? 100 : 0,
      load: this.load,
    }));
    return {
      clockMs: this.clockMs(),
      bornMs: this.bornMs,
      active: this.hasUnreadableRuns ? [] : [...active, ...this.otherRuns],
      ended: [...this.reports],
      hasInvalidRows: this.hasUnreadableRuns,
    };
  }

  /** Returns the names of the tasks that do their full work. */
  listAtWork(): string[] {
    const runs = [...this.runs.values()].filter((run) => FakeWorker.isAtWork(run));
    return runs.map(({ order }) => order.task);
  }

  /** Ends the runs of a gang, another member of which has ended. */
  breakGang(payload: string): void {
    for (const [key, { order }] of [...this.runs]) {
      if (order.payload === payload) this.end(key, 'broken');
    }
  }

  /** Ends all runs without a report; the worker does not come back. */
  crash(): void {
    this.restart();
    this.behaviour = 'crashed';
  }

  /**
   * Ends all runs without a report, and starts a new incarnation, whose clock shows `clockMs`. Unless
   * it is silent, all connections are closed.
   */
  restart({ clockMs = 0, isSilent = false } = {}): void {
    for (const timer of this.lateStarts) clearTimeout(timer);
    this.lateStarts.clear();
    for (const { order, timer } of this.runs.values()) {
      clearTimeout(timer);
      const { task, run } = order;
      this.observer?.onEnd({ number: 0, task, run, outcome: 'lost', checkpoint: '' });
    }
    clearTimeout(this.leaseTimer);
    this.runs.clear();
    this.supersededRuns.clear();
    this.reports = [];
    this.nextReport = 1;
    this.fence = 0;
    this.untilMs = 0;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = undefined;
    this.bootMs = performance.now() - clockMs;
    this.bornMs += 1;
    if (isSilent) return;
    for (const wake of this.waiters.splice(0)) wake();
  }

  /** Returns the work that the checkpoint in an order stands for, in milliseconds. */
  private static readCheckpoint({ checkpoint }: StartOrder): number {
    return Number(checkpoint ?? 0);
  }

  private static isAtWork({ workFromMs }: WorkerRun): boolean {
    return performance.now() >= workFromMs;
  }

  private renew(untilMs: number): void {
    this.untilMs = Math.max(this.untilMs, Math.min(untilMs, this.clockMs() + this.maxLeaseMs));
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => this.expireLease(), this.untilMs - this.clockMs());
  }

  private expireLease(): void {
    clearTimeout(this.leaseTimer);
    this.leaseTimer = undefined;
    for (const key of [...this.runs.keys()]) this.end(key, 'lapsed');
    this.observer?.onLeaseExpired?.();
  }

  private end(key: string, outcome: RunOutcome): void {
    const run = this.runs.get(key);
    if (!run) return;
    clearTimeout(run.timer);
    this.runs.delete(key);
    const { task, run: number, payload } = run.order;
    const workMs = FakeWorker.readCheckpoint(run.order) + performance.now() - run.startedMs;
    const isWritten = outcome === 'stopped' && this.checkpointingPayloads.has(payload);
    const checkpoint = isWritten ? `${workMs}` : '';
    this.supersededRuns.set(task, Math.max(number, this.supersededRuns.get(task) ?? 0));
    const report = { number: this.nextReport, task, run: number, outcome, checkpoint };
    this.reports.push(report);
    this.observer?.onEnd(report);
    this.nextReport += 1;
    for (const wake of this.waiters.splice(0)) wake();
  }

  private async waitForEnd(ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.waiters.push(resolve);
      setTimeout(resolve, ms);
    });
  }
}
