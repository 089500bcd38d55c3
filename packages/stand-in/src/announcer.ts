import type { EndpointAnnouncement, EndpointHeartbeat } from '@lagoongap/model/endpoint.js';
import { toError } from '@lagoongap/model/toError.js';
import { request } from 'undici';

import type { AttemptTable } from './attemptTable.js';
import { parseAnnounceResponse, parseHeartbeatResponse } from './gatewayResponses.js';
import { StandInError } from './standInError.js';

/** Timeout of a call to a gateway, in milliseconds. */
const CALL_TIMEOUT_MS = 1000;

/** Delay before a retry after all gateways have failed, in milliseconds. */
const RETRY_DELAY_MS = 250;

/** Delay that batches attempts ending at nearly the same time into one heartbeat. */
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

/** Announces an endpoint to one of the gateways and renews its lease by heartbeats. */
export class Announcer {
  private gateway = 0;
  private session: string | undefined;
  private heartbeatMs = RETRY_DELAY_MS;
  private stopped = false;
  private leaving = false;
  private cancelSleep: () => void = () => {};
  private reportTimer: NodeJS.Timeout | undefined;
  private heartbeatLoop: Promise<void> | undefined;
  private readonly abortController = new AbortController();
  private readonly path: string;
  /** Error of the last failed call to a gateway. */
  lastError: Error | undefined;

  constructor(
    private readonly opts: AnnouncerOptions,
    private readonly announcement: EndpointAnnouncement,
    private readonly attempts: AttemptTable,
  ) {
    this.path = `/v1/endpoints/${encodeURIComponent(announcement.id)}`;
  }

  /** Announces the endpoint until a gateway accepts it, then sends heartbeats in the background. */
  async start(): Promise<void> {
    while (!this.stopped && !(await this.announce())) await this.sleep(RETRY_DELAY_MS);
    this.attempts.onAttemptEnd = () => this.scheduleReport();
    this.heartbeatLoop = this.runHeartbeatLoop();
  }

  /**
   * Reports that the endpoint accepts no more work, retrying for at most `maxMs`. Heartbeats
   * continue.
   */
  async leave(maxMs: number): Promise<void> {
    this.leaving = true;
    const endsAtMs = performance.now() + maxMs;
    while (!this.stopped && performance.now() < endsAtMs) {
      const result = await this.call(`${this.path}/leave`, { session: this.session });
      if (result !== undefined && result.status < 500) return;
      await this.sleep(RETRY_DELAY_MS);
    }
  }

  /** Stops heartbeats without notifying the gateways, as a crash does. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.abortController.abort();
    clearTimeout(this.reportTimer);
    this.cancelSleep();
    await this.heartbeatLoop;
  }

  private async runHeartbeatLoop(): Promise<void> {
    while (!this.stopped) {
      const isAccepted =
        this.session === undefined ? await this.announce() : await this.sendHeartbeat();
      await this.sleep(isAccepted ? this.heartbeatMs : RETRY_DELAY_MS);
    }
  }

  private async announce(): Promise<boolean> {
    const sentAtMs = performance.now();
    const result = await this.call('/v1/endpoints', this.announcement);
    if (result === undefined) return false;
    if (result.status >= 300) return this.rejectResponse(result);
    const response = parseAnnounceResponse(result.body);
    if (response === undefined) return this.rejectResponse(result);
    this.session = response.session;
    this.heartbeatMs = response.heartbeatMs;
    if (this.leaving) await this.call(`${this.path}/leave`, { session: this.session });
    // An announcement does not list running attempts, so only a heartbeat may renew their lease.
    if (this.attempts.runningCount > 0) return this.sendHeartbeat();
    this.attempts.extendLease(sentAtMs + response.leaseMs);
    return true;
  }

  private async sendHeartbeat(): Promise<boolean> {
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
    const response = result.status < 300 ? parseHeartbeatResponse(result.body) : undefined;
    if (response === undefined) return this.rejectResponse(result);
    this.attempts.extendLease(sentAtMs + response.leaseMs);
    this.attempts.acknowledge(response.acknowledged);
    for (const { attempt, action } of response.actions) this.attempts.applyAction(attempt, action);
    return true;
  }

  private rejectResponse({ status, body }: CallResult): false {
    this.lastError = new StandInError(
      `invalid response with status ${status}: ${JSON.stringify(body)}`,
    );
    return false;
  }

  /** Calls the current gateway; after a failure, tries each of the others once in turn. */
  private async call(path: string, body: unknown): Promise<CallResult | undefined> {
    for (let i = 0; i < this.opts.gateways.length && !this.stopped; i++) {
      const base = this.opts.gateways[this.gateway]!;
      try {
        const result = await this.post(`${base}${path}`, body);
        if (result.status < 500 && result.status !== 401 && result.status !== 403) return result;
        this.lastError = new StandInError(`${base}${path} responded with status ${result.status}`);
      } catch (err) {
        this.lastError = new StandInError(`call to ${base}${path} failed`, toError(err));
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
      // The connection may be hung after a network fault; the next call must not reuse it.
      reset: true,
      signal: AbortSignal.any([this.abortController.signal, AbortSignal.timeout(CALL_TIMEOUT_MS)]),
    });
    const text = await res.body.text();
    return { status: res.statusCode, body: text === '' ? {} : JSON.parse(text) };
  }

  private scheduleReport(): void {
    clearTimeout(this.reportTimer);
    this.reportTimer = setTimeout(() => this.cancelSleep(), REPORT_DELAY_MS);
  }

  private async sleep(ms: number): Promise<void> {
    if (this.stopped) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.cancelSleep = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
