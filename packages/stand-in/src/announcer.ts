import type { EndpointAnnouncement, EndpointHeartbeat } from '@lagoongap/model/endpoint.js';
import { toError } from '@lagoongap/model/toError.js';
import { request } from 'undici';

import type { AttemptTable } from './attemptTable.js';
import { parseAnnounceAnswer, parseHeartbeatAnswer } from './parseAnswer.js';
import { StandInError } from './standInError.js';

/** Time after which a gateway that does not answer is given up, in milliseconds. */
const CALL_TIMEOUT_MS = 1000;

/** Pause after every gateway has failed, in milliseconds. */
const RETRY_MS = 250;

/** Gathers attempts that end at about the same time into one heartbeat, in milliseconds. */
const REPORT_DELAY_MS = 20;

interface CallResult {
  status: number;
  body: unknown;
}

/** Connection settings of an {@link Announcer}. */
export interface AnnouncerOptions {
  gateways: string[];
  key: string;
}

/** Announces an endpoint to any gateway and keeps its lease by heartbeats. */
export class Announcer {
  private gateway = 0;
  private session: string | undefined;
  private heartbeatMs = RETRY_MS;
  private stopped = false;
  private leaving = false;
  private wake: () => void = () => {};
  private reportTimer: NodeJS.Timeout | undefined;
  private loop: Promise<void> | undefined;
  private readonly abort = new AbortController();
  private readonly path: string;
  /** Last failure of a call to a gateway. */
  lastError: Error | undefined;

  constructor(
    private readonly opts: AnnouncerOptions,
    private readonly announcement: EndpointAnnouncement,
    private readonly attempts: AttemptTable,
  ) {
    this.path = `/v1/endpoints/${encodeURIComponent(announcement.id)}`;
  }

  /** Announces the endpoint until a gateway accepts it; then heartbeats go on by themselves. */
  async start(): Promise<void> {
    while (!this.stopped && !(await this.announce())) await this.sleep(RETRY_MS);
    this.attempts.onEnd = () => this.reportSoon();
    this.loop = this.run();
  }

  /** Tells the system for at most `maxMs` that it takes no more work; heartbeats go on. */
  async leave(maxMs: number): Promise<void> {
    this.leaving = true;
    const endsAtMs = performance.now() + maxMs;
    while (!this.stopped && performance.now() < endsAtMs) {
      const result = await this.call(`${this.path}/leave`, { session: this.session });
      if (result !== undefined && result.status < 500) return;
      await this.sleep(RETRY_MS);
    }
  }

  /** Ends heartbeats without a word, as a crash does. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.abort.abort();
    clearTimeout(this.reportTimer);
    this.wake();
    await this.loop;
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      const isAnswered = this.session === undefined ? await this.announce() : await this.beat();
      await this.sleep(isAnswered ? this.heartbeatMs : RETRY_MS);
    }
  }

  private async announce(): Promise<boolean> {
    const sentAtMs = performance.now();
    const result = await this.call('/v1/endpoints', this.announcement);
    if (result === undefined) return false;
    if (result.status >= 300) return this.reject(result);
    const answer = parseAnnounceAnswer(result.body);
    if (answer === undefined) return this.reject(result);
    this.session = answer.session;
    this.heartbeatMs = answer.heartbeatMs;
    if (this.leaving) await this.call(`${this.path}/leave`, { session: this.session });
    // An announcement does not list running attempts, so that only a heartbeat renews them.
    if (this.attempts.runningCount > 0) return this.beat();
    this.attempts.extendLease(sentAtMs + answer.leaseMs);
    return true;
  }

  private async beat(): Promise<boolean> {
    const heartbeat: EndpointHeartbeat = {
      session: this.session!,
      running: this.attempts.listRunning(),
      finished: this.attempts.listFinished(),
    };
    const sentAtMs = performance.now();
    const result = await this.call(`${this.path}/heartbeat`, heartbeat);
    if (result === undefined) return false;
    if (result.status === 404 || result.status === 410) {
      this.session = undefined;
      return false;
    }
    const answer = result.status < 300 ? parseHeartbeatAnswer(result.body) : undefined;
    if (answer === undefined) return this.reject(result);
    this.attempts.extendLease(sentAtMs + answer.leaseMs);
    this.attempts.acknowledge(answer.acknowledged);
    for (const { attempt, action } of answer.actions) this.attempts.act(attempt, action);
    return true;
  }

  private reject({ status, body }: CallResult): false {
    this.lastError = new StandInError(`unusable answer ${status}: ${JSON.stringify(body)}`);
    return false;
  }

  /** Sends to one gateway; a failure turns to the next one for the following call. */
  private async call(path: string, body: unknown): Promise<CallResult | undefined> {
    for (let i = 0; i < this.opts.gateways.length && !this.stopped; i++) {
      const base = this.opts.gateways[this.gateway]!;
      try {
        const result = await this.post(`${base}${path}`, body);
        if (result.status < 500 && result.status !== 401 && result.status !== 403) return result;
        this.lastError = new StandInError(`${base}${path} answered ${result.status}`);
      } catch (err) {
        this.lastError = new StandInError(`no answer from ${base}${path}`, toError(err));
      }
      this.gateway = (this.gateway + 1) % this.opts.gateways.length;
    }
    return undefined;
  }

  private async post(url: string, body: unknown): Promise<CallResult> {
    const res = await request(url, {
      method: 'POST',
      headers: { authorization: `Bearer ${this.opts.key}`, 'content-type': 'application/json' },
      body: JSON.stringify(body),
      // The connection that a call used may have gone silent; the next call must not wait for it.
      reset: true,
      signal: AbortSignal.any([this.abort.signal, AbortSignal.timeout(CALL_TIMEOUT_MS)]),
    });
    const text = await res.body.text();
    return { status: res.statusCode, body: text === '' ? {} : JSON.parse(text) };
  }

  private reportSoon(): void {
    clearTimeout(this.reportTimer);
    this.reportTimer = setTimeout(() => this.wake(), REPORT_DELAY_MS);
  }

  private async sleep(ms: number): Promise<void> {
    if (this.stopped) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
