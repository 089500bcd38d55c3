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

/** Sends a call of the endpoint through a living gateway. */
export type EndpointCall = <Result>(method: string, params: unknown) => Promise<Result>;

/** Options of {@link FakeEndpoint}. */
export interface FakeEndpointOptions {
  announcement: EndpointAnnouncement;
  call: EndpointCall;
  record: (event: HistoryEvent) => void;
  /** Told of each violation that only the endpoint can see. */
  report: (violation: string) => void;
}

const RETRY_MS = 300;
const HEARTBEAT_CALL_MS = 3000;

/** Endpoint in memory that runs whatever it is given for as long as it is told. */
export class FakeEndpoint {
  readonly announcement: EndpointAnnouncement;
  /** Neither heartbeats nor requests pass. */
  isCutOff = false;
  private readonly opts: FakeEndpointOptions;
  private readonly running = new Map<string, RunningAttempt>();
  private readonly finished = new Map<string, FinishedReport>();
  private readonly succeeded = new Set<string>();
  private session: AnnounceResult | undefined;
  private leaseEndMs = -Infinity;
  private isClosed = false;

  constructor(opts: FakeEndpointOptions) {
    this.opts = opts;
    this.announcement = opts.announcement;
  }

  get runningCount(): number {
    return this.running.size;
  }

  start(): void {
    this.schedule(0);
    setInterval(() => {
      if (performance.now() >= this.leaseEndMs) this.stopAll('stopped');
    }, 50);
  }

  close(): void {
    this.isClosed = true;
    this.stopAll('stopped');
  }

  /** Runs an attempt for `runMs`, or until it is stopped. */
  run(order: StartOrder & { kind: 'task' | 'request' }, marker: string, runMs?: number): boolean {
    if (this.isClosed || this.running.has(order.attempt)) return false;
    const task = order.kind === 'request' ? order.attempt : `${order.job}/${order.taskIndex}`;
    const timer = setTimeout(() => this.end(order.attempt, 'succeeded'), runMs ?? 2 ** 31 - 1);
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

  end(attempt: string, outcome: FinishedReport['outcome']): void {
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
      this.opts.report(`endpoint ${this.announcement.id} is overcommitted`);
    }
  }

  private stopAll(outcome: FinishedReport['outcome']): void {
    for (const attempt of [...this.running.keys()]) this.end(attempt, outcome);
  }

  private schedule(delayMs: number): void {
    setTimeout(() => {
      if (this.isClosed) return;
      this.beat().then(
        () => this.schedule(this.session?.heartbeatMs ?? RETRY_MS),
        () => this.schedule(RETRY_MS),
      );
    }, delayMs);
  }

  private async beat(): Promise<void> {
    const { id } = this.announcement;
    if (this.isCutOff) throw new Error(`endpoint ${id} is cut off`);
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
      const answer = await this.opts.call<HeartbeatResult>('endpoints.heartbeat', {
        id,
        heartbeat,
      });
      if (performance.now() - sentAtMs > HEARTBEAT_CALL_MS) return;
      this.leaseEndMs = Math.max(this.leaseEndMs, sentAtMs + answer.leaseMs);
      for (const attempt of answer.acknowledged) this.finished.delete(attempt);
      for (const { attempt, action } of answer.actions) {
        this.end(attempt, action === 'checkpoint' ? 'checkpointed' : 'stopped');
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
