import type {
  EndpointAnnouncement,
  FinishedReport,
  RunningReport,
  StartOrder,
} from '@lagoongap/model/endpoint.js';
import type { AnnounceResult, HeartbeatResult } from '@lagoongap/model/messages.js';
import {
  NO_RESOURCES,
  addResources,
  fitsInto,
  type Resources,
} from '@lagoongap/model/resources.js';
import type { HistoryEvent } from '@lagoongap/stand-in/standInOptions.js';

interface RunningAttempt {
  token: number;
  size: Resources;
  team: string;
  timer: NodeJS.Timeout;
}

/** Sends a call of the endpoint through a running instance. */
export type EndpointCall = <Result>(method: string, params: unknown) => Promise<Result>;

/** Options of {@link FakeEndpoint}. */
export interface FakeEndpointOptions {
  announcement: EndpointAnnouncement;
  call: EndpointCall;
  record: (event: HistoryEvent) => void;
  /** Receives each violation that only the endpoint can detect. */
  reportViolation: (violation: string) => void;
}

const RETRY_INTERVAL_MS = 300;
const HEARTBEAT_TIMEOUT_MS = 3000;

/** In-memory endpoint that accepts every attempt and simulates its run with a timer. */
export class FakeEndpoint {
  readonly announcement: EndpointAnnouncement;
  /** Whether the endpoint is partitioned: neither heartbeats nor requests get through. */
  isPartitioned = false;
  private readonly opts: FakeEndpointOptions;
  private readonly running = new Map<string, RunningAttempt>();
  private readonly finished = new Map<string, FinishedReport>();
  private readonly succeeded = new Set<string>();
  private session: AnnounceResult | undefined;
  private leaseEndMs = -Infinity;
  private closed = false;

  constructor(opts: FakeEndpointOptions) {
    this.opts = opts;
    this.announcement = opts.announcement;
  }

  /** Whether the process of the endpoint has ended. */
  get isClosed(): boolean {
    return this.closed;
  }

  get runningCount(): number {
    return this.running.size;
  }

  start(): void {
    this.scheduleHeartbeat(0);
    setInterval(() => {
      if (performance.now() >= this.leaseEndMs) this.stopAllAttempts('stopped');
    }, 50);
  }

  close(): void {
    this.closed = true;
    this.stopAllAttempts('stopped');
  }

  /**
   * Starts an attempt that runs for `runMs`, or until it is stopped. Returns false if the endpoint
   * is closed or already runs the attempt.
   */
  startAttempt(
    order: StartOrder & { kind: 'task' | 'request' },
    marker: string,
    runMs?: number,
  ): boolean {
    if (this.closed || this.running.has(order.attempt)) return false;
    const task = order.kind === 'request' ? order.attempt : `${order.job}/${order.taskIndex}`;
    const timer = setTimeout(
      () => this.endAttempt(order.attempt, 'succeeded'),
      runMs ?? 2 ** 31 - 1,
    );
    const { token, size, team } = order;
    this.running.set(order.attempt, { token, size, team, timer });
    this.record('start', order.attempt, token, task, order.kind, marker);
    this.checkCapacity();
    return true;
  }

  isRunning(attempt: string): boolean {
    return this.running.has(attempt);
  }

  hasSucceeded(attempt: string): boolean {
    return this.succeeded.has(attempt);
  }

  hasFinished(attempt: string): boolean {
    return this.finished.has(attempt);
  }

  endAttempt(attempt: string, outcome: FinishedReport['outcome']): void {
    const running = this.running.get(attempt);
    if (!running) return;
    clearTimeout(running.timer);
    this.running.delete(attempt);
    this.finished.set(attempt, { attempt, outcome });
    if (outcome === 'succeeded') this.succeeded.add(attempt);
    this.record('end', attempt, running.token, '', 'task', undefined, outcome);
  }

  countByTeam(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { team } of this.running.values()) counts.set(team, (counts.get(team) ?? 0) + 1);
    return counts;
  }

  private checkCapacity(): void {
    let used: Resources = NO_RESOURCES;
    for (const { size } of this.running.values()) used = addResources(used, size);
    if (!fitsInto(used, this.announcement.size)) {
      this.opts.reportViolation(`endpoint ${this.announcement.id} is overcommitted`);
    }
  }

  private stopAllAttempts(outcome: FinishedReport['outcome']): void {
    for (const attempt of [...this.running.keys()]) this.endAttempt(attempt, outcome);
  }

  private scheduleHeartbeat(delayMs: number): void {
    setTimeout(() => {
      if (this.closed) return;
      this.sendHeartbeat().then(
        () => this.scheduleHeartbeat(this.session?.heartbeatMs ?? RETRY_INTERVAL_MS),
        () => this.scheduleHeartbeat(RETRY_INTERVAL_MS),
      );
    }, delayMs);
  }

  private async sendHeartbeat(): Promise<void> {
    const { id } = this.announcement;
    if (this.isPartitioned) throw new Error(`endpoint ${id} is partitioned`);
    if (!this.session) {
      const sentAtMs = performance.now();
      this.session = await this.opts.call<AnnounceResult>('endpoints.announce', {
        announcement: this.announcement,
      });
      this.leaseEndMs = sentAtMs + this.session.leaseMs;
      return;
    }
    const running: RunningReport[] = [...this.running].map(([attempt, { token }]) => ({
      attempt,
      token,
    }));
    const heartbeat = {
      session: this.session.session,
      running,
      finished: [...this.finished.values()],
    };
    const sentAtMs = performance.now();
    try {
      const result = await this.opts.call<HeartbeatResult>('endpoints.heartbeat', {
        id,
        heartbeat,
      });
      if (performance.now() - sentAtMs > HEARTBEAT_TIMEOUT_MS) return;
      this.leaseEndMs = Math.max(this.leaseEndMs, sentAtMs + result.leaseMs);
      for (const attempt of result.acknowledged) this.finished.delete(attempt);
      for (const { attempt, action } of result.actions) {
        this.endAttempt(attempt, action === 'checkpoint' ? 'checkpointed' : 'stopped');
      }
    } catch (err) {
      const { refusal } = err as { refusal?: { type: string } };
      if (refusal?.type === 'not-found') this.session = undefined;
      throw err;
    }
  }

  private record(
    type: 'start' | 'end',
    attempt: string,
    token: number,
    task: string,
    kind: 'task' | 'request',
    marker?: string,
    outcome?: string,
  ): void {
    this.opts.record({
      type,
      endpoint: this.announcement.id,
      attempt,
      token,
      task,
      kind,
      marker,
      outcome,
      monotonicMs: performance.now(),
      wallMs: 0,
    });
  }
}
