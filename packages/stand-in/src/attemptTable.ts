import type {
  AttemptAction,
  FinishedReport,
  RunningReport,
  StartOrder,
} from '@lagoongap/model/endpoint.js';
import { NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';

import type { HistoryEvent, StandInBehaviour, StandInPayload } from './standInOptions.js';

/** Most finished attempts and tasks that are remembered after their acknowledgement. */
const MAX_REMEMBERED = 100_000;

/** Share of the usage that is left after a throttle action. */
const THROTTLED_SHARE = 0.5;

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

/** What is known of a request when it starts. */
export interface RequestStart {
  attempt: string;
  token: number;
  marker?: string;
}

/** Running and finished attempts of one endpoint, with the fencing tokens seen so far. */
export class AttemptTable {
  private readonly running = new Map<string, RunningAttempt>();
  private readonly finished = new Map<string, FinishedReport>();
  private readonly known = new Map<string, true>();
  private readonly lastTokens = new Map<string, number>();
  private leaseEndsAtMs = -Infinity;
  private leaseTimer: NodeJS.Timeout | undefined;
  /** Called when an attempt has ended, so that it can be reported without delay. */
  onEnd: () => void = () => {};

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

  /** Tells whether the lease still holds. */
  hasLease(): boolean {
    return performance.now() < this.leaseEndsAtMs;
  }

  /** Extends the lease to `endsAtMs` on the monotonic clock; never shortens it. */
  extendLease(endsAtMs: number): void {
    if (endsAtMs <= this.leaseEndsAtMs) return;
    this.enforceLease();
    this.leaseEndsAtMs = endsAtMs;
    this.watchLease();
  }

  /** Stops every attempt if the lease has run out. */
  enforceLease(): void {
    if (this.hasLease() || this.behaviour.startsWhateverItIsGiven) return;
    for (const attempt of [...this.running.keys()]) this.end(attempt, 'stopped', 'lease expired');
  }

  /** Starts a task; returns false if its token is not larger than the last one of the task. */
  startTask(order: StartOrder): boolean {
    const task = `${order.job}/${order.taskIndex}`;
    if (!this.accept(order.attempt, task, order.token)) return false;
    const payload = (order.payload ?? {}) as StandInPayload;
    const { marker, runMs, fail } = payload;
    const usage = payload.usage ?? order.size;
    this.begin({ attempt: order.attempt, token: order.token, task, kind: 'task', usage, marker });
    if (this.behaviour.failsEverything) this.end(order.attempt, 'failed', 'fails everything');
    else if (runMs !== undefined) {
      const doneMs = Number(order.checkpoint ?? 0);
      const leftMs = Math.max(0, runMs - doneMs) + this.behaviour.slowMs;
      const outcome = fail ? 'failed' : 'succeeded';
      this.running.get(order.attempt)!.timer = setTimeout(
        () => this.finishTask(order.attempt, outcome),
        leftMs,
      );
    }
    return true;
  }

  /** Starts a request; returns false if its attempt has been seen before. */
  startRequest({ attempt, token, marker }: RequestStart): boolean {
    if (!this.accept(attempt, attempt, token)) return false;
    const usage = { ...NO_RESOURCES, slots: 1 };
    this.begin({ attempt, token, task: attempt, kind: 'request', usage, marker });
    return true;
  }

  /** Ends an attempt if it still runs. */
  end(attempt: string, outcome: FinishedReport['outcome'], message?: string): void {
    const run = this.running.get(attempt);
    if (run === undefined) return;
    clearTimeout(run.timer);
    this.running.delete(attempt);
    this.record('end', run, outcome);
    // The gateway has the outcome of a request; a heartbeat only no longer lists it as running.
    if (run.kind === 'request') return;
    const checkpoint =
      outcome === 'checkpointed' ? String(performance.now() - run.startedAtMs) : undefined;
    this.finished.set(attempt, { attempt, outcome, message, checkpoint });
    this.onEnd();
  }

  /**
   * Applies an action. An attempt that is not known counts as stopped from now on, so that a
   * start order that is still on its way is refused.
   */
  act(attempt: string, action: AttemptAction): boolean {
    const run = this.running.get(attempt);
    if (run === undefined) {
      if (this.known.has(attempt) || action !== 'stop') return false;
      this.remember(attempt);
      this.finished.set(attempt, { attempt, outcome: 'stopped', message: 'never started' });
      return true;
    }
    if (action === 'checkpoint') this.end(attempt, 'checkpointed');
    else if (action === 'stop') this.end(attempt, 'stopped');
    else {
      run.usage = { ...run.usage, cpuMillis: Math.ceil(run.usage.cpuMillis * THROTTLED_SHARE) };
    }
    return true;
  }

  /** Tells whether an attempt runs, has finished or has never been seen. */
  find(attempt: string): 'running' | 'finished' | 'absent' {
    if (this.running.has(attempt)) return 'running';
    return this.known.has(attempt) ? 'finished' : 'absent';
  }

  /** Lists running attempts with their reported usage. */
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

  /** Lists finished attempts that have not been acknowledged. */
  listFinished(): FinishedReport[] {
    return [...this.finished.values()];
  }

  /** Drops finished attempts that need no further report. */
  acknowledge(attempts: string[]): void {
    for (const attempt of attempts) this.finished.delete(attempt);
  }

  /** Ends everything without a report. */
  dispose(): void {
    clearTimeout(this.leaseTimer);
    this.onEnd = () => {};
    for (const attempt of [...this.running.keys()]) this.end(attempt, 'stopped', 'endpoint closed');
  }

  private watchLease(): void {
    clearTimeout(this.leaseTimer);
    if (this.leaseEndsAtMs === Infinity) return;
    this.leaseTimer = setTimeout(
      () => {
        // A timer may fire up to a millisecond early.
        if (this.hasLease()) this.watchLease();
        else this.enforceLease();
      },
      Math.ceil(this.leaseEndsAtMs - performance.now()),
    );
  }

  private finishTask(attempt: string, outcome: FinishedReport['outcome']): void {
    // A process that was paused may see the task's timer before that of the lease.
    this.enforceLease();
    this.end(attempt, outcome);
  }

  private accept(attempt: string, task: string, token: number): boolean {
    if (!this.behaviour.startsWhateverItIsGiven) {
      if (this.known.has(attempt) || token <= (this.lastTokens.get(task) ?? -1)) return false;
    }
    this.remember(attempt);
    this.lastTokens.delete(task);
    this.lastTokens.set(task, token);
    AttemptTable.trim(this.lastTokens);
    return true;
  }

  private remember(attempt: string): void {
    this.known.set(attempt, true);
    AttemptTable.trim(this.known);
  }

  private begin(run: Omit<RunningAttempt, 'startedAtMs'>): void {
    const entry = { ...run, startedAtMs: performance.now() };
    this.running.set(run.attempt, entry);
    this.record('start', entry);
  }

  private record(type: 'start' | 'end', run: RunningAttempt, outcome?: string): void {
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

  private static trim(map: Map<string, unknown>): void {
    if (map.size > MAX_REMEMBERED) map.delete(map.keys().next().value!);
  }
}
