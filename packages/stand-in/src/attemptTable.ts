import type {
  AttemptAction,
  FinishedReport,
  RunningReport,
  StartOrder,
} from '@lagoongap/model/endpoint.js';
import { NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';

import type { HistoryEvent, StandInBehaviour, StandInPayload } from './standInOptions.js';

/** Maximum number of attempt ids, and of last tokens of tasks, kept to detect stale orders. */
const MAX_SEEN_ENTRIES = 100_000;

/** Share of the CPU usage that remains after a throttle action. */
const THROTTLED_CPU_SHARE = 0.5;

const NANOSECONDS_PER_MS = 1e6;

interface RunningAttempt {
  attempt: string;
  token: number;
  task: string;
  kind: 'request' | 'task';
  usage: Resources;
  startedAtMs: number;
  marker?: string;
  timer?: NodeJS.Timeout;
}

/** Parameters of a request that starts. */
export interface RequestStart {
  attempt: string;
  token: number;
  marker?: string;
}

/** Running and finished attempts of one endpoint, and the last fencing token of each task. */
export class AttemptTable {
  private readonly running = new Map<string, RunningAttempt>();
  private readonly finished = new Map<string, FinishedReport>();
  private readonly seenAttempts = new Map<string, true>();
  private readonly lastTokens = new Map<string, number>();
  private leaseEndsAtMs = -Infinity;
  private leaseTimer: NodeJS.Timeout | undefined;
  /** Called when a task attempt ends, so that it can be reported without delay. */
  onAttemptEnd: () => void = () => {};

  constructor(
    private readonly endpoint: string,
    private readonly behaviour: StandInBehaviour,
    private readonly onHistory: (event: HistoryEvent) => void,
  ) {}

  get runningCount(): number {
    return this.running.size;
  }

  get hasUnacknowledged(): boolean {
    return this.finished.size > 0;
  }

  /** Returns whether the lease is valid. */
  hasLease(): boolean {
    return performance.now() < this.leaseEndsAtMs;
  }

  /** Extends the lease to `endsAtMs` on the monotonic clock; never shortens it. */
  extendLease(endsAtMs: number): void {
    if (endsAtMs <= this.leaseEndsAtMs) return;
    this.stopIfLeaseExpired();
    this.leaseEndsAtMs = endsAtMs;
    this.scheduleLeaseCheck();
  }

  /** Stops every attempt if the lease has expired. */
  stopIfLeaseExpired(): void {
    if (this.hasLease() || this.behaviour.startsWhateverItIsGiven) return;
    for (const attempt of [...this.running.keys()])
      this.endAttempt(attempt, 'stopped', 'lease expired');
  }

  /**
   * Starts a task. Returns false if its attempt has been seen before or its token is not larger
   * than the last one of the task.
   */
  startTask(order: StartOrder): boolean {
    const task = `${order.job}/${order.taskIndex}`;
    if (!this.tryRegister(order.attempt, task, order.token)) return false;
    const payload = (order.payload ?? {}) as StandInPayload;
    const { marker, runMs, fail } = payload;
    const usage = payload.usage ?? order.size;
    this.startAttempt({
      attempt: order.attempt,
      token: order.token,
      task,
      kind: 'task',
      usage,
      marker,
    });
    if (this.behaviour.failsEverything)
      this.endAttempt(order.attempt, 'failed', 'fails everything');
    else if (runMs !== undefined) {
      const completedMs = Number(order.checkpoint ?? 0);
      const remainingMs = Math.max(0, runMs - completedMs) + this.behaviour.slowMs;
      const outcome = fail ? 'failed' : 'succeeded';
      this.running.get(order.attempt)!.timer = setTimeout(
        () => this.finishTask(order.attempt, outcome),
        remainingMs,
      );
    }
    return true;
  }

  /** Starts a request. Returns false if its attempt has been seen before. */
  startRequest({ attempt, token, marker }: RequestStart): boolean {
    if (!this.tryRegister(attempt, attempt, token)) return false;
    const usage = { ...NO_RESOURCES, slots: 1 };
    this.startAttempt({ attempt, token, task: attempt, kind: 'request', usage, marker });
    return true;
  }

  /** Ends an attempt if it is running. */
  endAttempt(attempt: string, outcome: FinishedReport['outcome'], message?: string): void {
    const run = this.running.get(attempt);
    if (run === undefined) return;
    clearTimeout(run.timer);
    this.running.delete(attempt);
    this.recordEvent('end', run, outcome);
    // The gateway gets the outcome of a request from the response; heartbeats just stop listing it.
    if (run.kind === 'request') return;
    const checkpoint =
      outcome === 'checkpointed' ? String(performance.now() - run.startedAtMs) : undefined;
    this.finished.set(attempt, { attempt, outcome, message, checkpoint });
    this.onAttemptEnd();
  }

  /**
   * Applies an action to an attempt. A stop for an unknown attempt marks it as stopped, so that a
   * start order that arrives later is refused. Returns false if the action has no effect.
   */
  applyAction(attempt: string, action: AttemptAction): boolean {
    const run = this.running.get(attempt);
    if (run === undefined) {
      if (this.seenAttempts.has(attempt) || action !== 'stop') return false;
      this.markSeen(attempt);
      this.finished.set(attempt, { attempt, outcome: 'stopped', message: 'never started' });
      return true;
    }
    if (action === 'checkpoint') this.endAttempt(attempt, 'checkpointed');
    else if (action === 'stop') this.endAttempt(attempt, 'stopped');
    else {
      run.usage = { ...run.usage, cpuMillis: Math.ceil(run.usage.cpuMillis * THROTTLED_CPU_SHARE) };
    }
    return true;
  }

  /** Returns whether an attempt is running, has finished or has never been seen. */
  getState(attempt: string): 'running' | 'finished' | 'absent' {
    if (this.running.has(attempt)) return 'running';
    return this.seenAttempts.has(attempt) ? 'finished' : 'absent';
  }

  /** Returns the running attempts with the usage to report. */
  listRunning(): RunningReport[] {
    const factor = this.behaviour.usageFactor;
    return [...this.running.values()].map(({ attempt, token, usage }) => ({
      attempt,
      token,
      usage: {
        cpuMillis: usage.cpuMillis * factor,
        memoryMib: usage.memoryMib * factor,
        accelerators: usage.accelerators,
        slots: usage.slots,
      },
    }));
  }

  /** Returns the finished attempts that have not been acknowledged. */
  listFinished(): FinishedReport[] {
    return [...this.finished.values()];
  }

  /** Removes finished attempts whose reports have been acknowledged. */
  acknowledge(attempts: string[]): void {
    for (const attempt of attempts) this.finished.delete(attempt);
  }

  /** Ends all attempts without reporting them. */
  dispose(): void {
    clearTimeout(this.leaseTimer);
    this.onAttemptEnd = () => {};
    for (const attempt of [...this.running.keys()])
      this.endAttempt(attempt, 'stopped', 'endpoint closed');
  }

  private scheduleLeaseCheck(): void {
    clearTimeout(this.leaseTimer);
    if (this.leaseEndsAtMs === Infinity) return;
    this.leaseTimer = setTimeout(
      () => {
        // A timer may fire up to a millisecond early.
        if (this.hasLease()) this.scheduleLeaseCheck();
        else this.stopIfLeaseExpired();
      },
      Math.ceil(this.leaseEndsAtMs - performance.now()),
    );
  }

  private finishTask(attempt: string, outcome: FinishedReport['outcome']): void {
    // After a pause of the process, the task's timer may fire before the timer of the lease.
    this.stopIfLeaseExpired();
    this.endAttempt(attempt, outcome);
  }

  private tryRegister(attempt: string, task: string, token: number): boolean {
    if (!this.behaviour.startsWhateverItIsGiven) {
      if (this.seenAttempts.has(attempt) || token <= (this.lastTokens.get(task) ?? -1))
        return false;
    }
    this.markSeen(attempt);
    this.lastTokens.delete(task);
    this.lastTokens.set(task, token);
    AttemptTable.evictOldest(this.lastTokens);
    return true;
  }

  private markSeen(attempt: string): void {
    this.seenAttempts.set(attempt, true);
    AttemptTable.evictOldest(this.seenAttempts);
  }

  private startAttempt(run: Omit<RunningAttempt, 'startedAtMs'>): void {
    const entry = { ...run, startedAtMs: performance.now() };
    this.running.set(run.attempt, entry);
    this.recordEvent('start', entry);
  }

  private recordEvent(type: 'start' | 'end', run: RunningAttempt, outcome?: string): void {
    const { attempt, token, task, kind, marker } = run;
    this.onHistory({
      type,
      endpoint: this.endpoint,
      attempt,
      token,
      task,
      kind,
      marker,
      outcome,
      monotonicMs: Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS,
      wallMs: Date.now(),
    });
  }

  private static evictOldest(map: Map<string, unknown>): void {
    if (map.size > MAX_SEEN_ENTRIES) map.delete(map.keys().next().value!);
  }
}
