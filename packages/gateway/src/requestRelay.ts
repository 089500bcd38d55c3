import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';

import { createId } from '@lagoongap/model/idGenerator.js';
import type { Log } from '@lagoongap/model/log.js';
import type { AcquireParams, AcquireResult, ReleaseOutcome } from '@lagoongap/model/messages.js';
import type { RunState } from '@lagoongap/model/refusal.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import { toError } from '@lagoongap/model/toError.js';
import type { EndpointClient, RelayResponse } from '@lagoongap/routing/endpointClient.js';

import type { LeaderClient } from './leaderClient.js';
import type { ReleaseQueue } from './releaseQueue.js';
import type { CallerBody } from './callerBody.js';
import type { RequestHeaders } from './requestHeaders.js';
import type { ValidityPoller } from './validityPoller.js';

/** Services shared by all relays. */
export interface RelayServices {
  owner: string;
  leader: LeaderClient;
  releases: ReleaseQueue;
  endpointClient: EndpointClient;
  validity: ValidityPoller;
  /** Maximum number of attempts per request. */
  maxAttempts: number;
  /** Takes one retry from the retry budget; returns false if the budget is exhausted. */
  tryRetry: () => boolean;
  log: Log;
}

/** A caller's request after parsing. */
export interface CallerRequest {
  headers: RequestHeaders;
  /** Headers to forward to the endpoint. */
  forwarded: Record<string, string>;
  body: CallerBody;
  keyId?: string;
}

/** Lowest status that counts as a failure of the endpoint. */
const MIN_SERVER_ERROR_STATUS = 500;

/** Timeout of each call that confirms the end of a failed attempt. */
const CONFIRM_END_TIMEOUT_MS = 2000;

/** Exchange failures that are attributed to the endpoint. */
const ENDPOINT_FAILURES: ReadonlySet<string> = new Set([
  'refused-connection',
  'deadline-exceeded',
  'endpoint-silent',
  'answer-cut',
  'answer-mismatch',
  'answer-invalid',
  'connection-lost',
]);

type AttemptResult =
  | { type: 'answered' }
  | {
      type: 'failed';
      runState: RunState;
      err: Error;
      outcome: ReleaseOutcome;
      isEndpointFault: boolean;
    };

/**
 * Relays one request of a caller to endpoints, with retries. Only the relay decides whether
 * the request may have run: it has not run before a byte is written to an endpoint.
 */
export class RequestRelay {
  readonly id = createId('request');
  private readonly services: RelayServices;
  private readonly request: CallerRequest;
  private readonly req: IncomingMessage;
  private readonly res: ServerResponse;
  private readonly endMs: number;
  private readonly abort = new AbortController();
  private readonly excluded: string[] = [];
  private attempts = 0;
  private mayHaveRun = false;

  constructor(
    services: RelayServices,
    request: CallerRequest,
    req: IncomingMessage,
    res: ServerResponse,
  ) {
    this.services = services;
    this.request = request;
    this.req = req;
    this.res = res;
    this.endMs = performance.now() + request.headers.deadlineMs;
    res.on('close', () => {
      if (!res.writableFinished) this.abort.abort();
    });
  }

  /** Resolves when the complete response was sent; rejects with a refusal otherwise. */
  async run(): Promise<void> {
    for (;;) {
      const placement = await this.acquirePlacement();
      this.attempts += 1;
      const startMs = performance.now();
      const result = await this.runAttempt(placement);
      const serviceMs = performance.now() - startMs;
      if (result.type === 'answered') return;
      if (result.runState === 'unknown') this.mayHaveRun = true;
      this.excluded.push(placement.endpointId);
      const isFinal = !this.reserveRetry(result);
      const release = this.services.releases.add({
        requestId: this.id,
        attempt: placement.attempt,
        outcome: result.outcome,
        final: isFinal,
        serviceMs,
        isEndpointFault: result.isEndpointFault,
      });
      if (isFinal) throw this.createRefusal(result.err);
      await release;
    }
  }

  private async acquirePlacement(): Promise<AcquireResult> {
    const { headers, keyId } = this.request;
    const { queue, work, size, noRepeat, idempotencyKey } = headers;
    const params: AcquireParams = {
      requestId: this.id,
      owner: this.services.owner,
      keyId,
      queue,
      work,
      size,
      noRepeat,
      idempotencyKey,
      deadlineMs: Math.max(1, this.endMs - performance.now()),
      excluded: this.excluded,
    };
    try {
      const placement = await this.services.leader.call<AcquireResult>(
        'placements.acquire',
        params,
        { deadlineMs: params.deadlineMs, signal: this.abort.signal },
      );
      if (this.abort.signal.aborted) throw new Error('the caller closed the connection');
      return placement;
    } catch (err) {
      this.releaseUnused();
      throw this.withRunState(toError(err));
    }
  }

  /** Reports to the leader that the placement, if it made one, will not be used. */
  private releaseUnused(): void {
    this.services.releases
      .add({ requestId: this.id, outcome: 'not-run', final: true })
      .catch(() => {});
  }

  private async runAttempt(placement: AcquireResult): Promise<AttemptResult> {
    let response: RelayResponse;
    try {
      response = await this.services.endpointClient.relay({
        url: placement.url,
        attempt: placement.attempt,
        token: placement.token,
        team: placement.team,
        work: this.request.headers.work,
        headers: this.request.forwarded,
        body: this.request.body.content,
        noRepeat: this.request.headers.noRepeat,
        deadlineMs: Math.max(1, this.endMs - performance.now()),
        signal: this.abort.signal,
        beforeSend: () => this.services.validity.assertValid(),
      });
    } catch (reason) {
      return this.handleExchangeError(placement, toError(reason));
    }
    if (response.status >= MIN_SERVER_ERROR_STATUS && this.isRetryable()) {
      response.body.destroy();
      const err = new Error(
        `endpoint ${placement.endpointId} responded with status ${response.status}`,
      );
      // A complete response proves that the attempt has ended, so a retry cannot overlap with it.
      return { type: 'failed', runState: 'unknown', err, outcome: 'failed', isEndpointFault: true };
    }
    return this.forwardResponse(placement, response);
  }

  private async handleExchangeError(placement: AcquireResult, err: Error): Promise<AttemptResult> {
    const { runState = 'unknown', failure } = err as { runState?: RunState; failure?: string };
    const isEndpointFault = failure !== undefined && ENDPOINT_FAILURES.has(failure);
    if (runState === 'not-run' || err instanceof RefusalError) {
      return { type: 'failed', runState: 'not-run', err, outcome: 'not-run', isEndpointFault };
    }
    const hasEnded = this.isRetryable() && (await this.confirmEnded(placement));
    const outcome = hasEnded ? 'failed' : 'unconfirmed';
    return { type: 'failed', runState, err, outcome, isEndpointFault };
  }

  /** Asks the endpoint to stop the attempt and returns whether its end is confirmed. */
  private async confirmEnded(placement: AcquireResult): Promise<boolean> {
    const { endpointClient } = this.services;
    const { url, attempt } = placement;
    try {
      await endpointClient.sendAction(url, attempt, 'stop', { timeoutMs: CONFIRM_END_TIMEOUT_MS });
      const attemptState = await endpointClient.probeAttempt(url, attempt, {
        timeoutMs: CONFIRM_END_TIMEOUT_MS,
      });
      return attemptState !== 'running';
    } catch {
      return false;
    }
  }

  private async forwardResponse(
    placement: AcquireResult,
    response: RelayResponse,
  ): Promise<AttemptResult> {
    const { res, services } = this;
    const startMs = performance.now();
    res.writeHead(response.status, {
      ...response.headers,
      'lagoongap-request': this.id,
      'lagoongap-attempts': String(this.attempts),
      'lagoongap-endpoint': placement.endpointId,
    });
    let outcome: ReleaseOutcome =
      response.status < MIN_SERVER_ERROR_STATUS ? 'succeeded' : 'failed';
    try {
      await pipeline(response.body, res);
    } catch (reason) {
      // The caller must not mistake a truncated response for a complete one.
      res.destroy();
      outcome = 'unconfirmed';
      services.log.warn('response to the caller was cut off', {
        requestId: this.id,
        endpoint: placement.endpointId,
        err: toError(reason).message,
      });
    }
    services.releases
      .add({
        requestId: this.id,
        attempt: placement.attempt,
        outcome,
        final: true,
        isEndpointFault: outcome !== 'succeeded' && !this.abort.signal.aborted,
        serviceMs: performance.now() - startMs,
      })
      .catch(() => {});
    return { type: 'answered' };
  }

  private isRetryable(): boolean {
    const { headers, body } = this.request;
    return (
      !headers.noRepeat &&
      body.isReplayable &&
      this.attempts < this.services.maxAttempts &&
      !this.abort.signal.aborted &&
      performance.now() < this.endMs
    );
  }

  private reserveRetry(result: AttemptResult & { type: 'failed' }): boolean {
    const { headers, body } = this.request;
    const isSafe = result.runState === 'not-run' ? body.isReplayable : !headers.noRepeat;
    return (
      isSafe &&
      body.isReplayable &&
      !(result.err instanceof RefusalError) &&
      this.attempts < this.services.maxAttempts &&
      !this.abort.signal.aborted &&
      performance.now() < this.endMs &&
      this.services.tryRetry()
    );
  }

  private createRefusal(err: Error): RefusalError {
    if (err instanceof RefusalError) return this.withRunState(err);
    return new RefusalError(
      {
        type: this.mayHaveRun ? 'answer-lost' : 'endpoint-failed',
        runState: this.mayHaveRun ? 'unknown' : 'not-run',
        message: `request failed after ${this.attempts} attempt(s): ${err.message}`,
        requestId: this.id,
      },
      err,
    );
  }

  /** Returns the refusal with the run state of all attempts: an earlier one may have run. */
  private withRunState(err: Error): RefusalError {
    const refusal = err instanceof RefusalError ? err.refusal : undefined;
    return new RefusalError(
      {
        type: refusal?.type ?? 'internal',
        // The leader's run state covers only placements, and no placement was used here.
        runState: this.mayHaveRun || refusal?.type === 'answer-lost' ? 'unknown' : 'not-run',
        message: refusal?.message ?? err.message,
        requestId: refusal?.requestId ?? this.id,
        retryAfterMs: refusal?.retryAfterMs,
        details: refusal?.details,
      },
      err,
    );
  }
}
