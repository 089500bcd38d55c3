import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';

import { createId } from '@lagoongap/model/idGenerator.js';
import type { Log } from '@lagoongap/model/log.js';
import type { AcquireParams, AcquireResult, ReleaseOutcome } from '@lagoongap/model/messages.js';
import type { RunState } from '@lagoongap/model/refusal.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import { toError } from '@lagoongap/model/toError.js';
import type { Exchange, RelayAnswer } from '@lagoongap/routing/exchange.js';

import type { LeaderClient } from './leaderClient.js';
import type { ReleaseQueue } from './releaseQueue.js';
import type { CallerBody } from './replayableBody.js';
import type { RequestHeaders } from './requestHeaders.js';
import type { ValidityPoller } from './validityPoller.js';

/** Services that relays share. */
export interface RelayServices {
  owner: string;
  leader: LeaderClient;
  releases: ReleaseQueue;
  exchange: Exchange;
  validity: ValidityPoller;
  /** Most attempts for one request. */
  maxAttempts: number;
  /** Takes one retry from the budget; false if it is used up. */
  tryRetry: () => boolean;
  log: Log;
}

/** A request of a caller. */
export interface CallerRequest {
  headers: RequestHeaders;
  /** Headers that the endpoint gets. */
  forwarded: Record<string, string>;
  body: CallerBody;
  keyId?: string;
}

/** Statuses from which on an answer counts as a failure of the endpoint. */
const SERVER_ERROR_STATUS = 500;

/** Time for which the end of a failed attempt is looked for before it counts as unconfirmed. */
const CONFIRM_TIMEOUT_MS = 2000;

/** Failures of an exchange that the endpoint is to blame for. */
const ENDPOINT_FAILURES: ReadonlySet<string> = new Set([
  'refused-connection',
  'deadline-exceeded',
  'endpoint-silent',
  'answer-cut',
  'answer-mismatch',
  'answer-invalid',
  'connection-lost',
]);

type AttemptEnd =
  | { type: 'answered' }
  | {
      type: 'failed';
      runState: RunState;
      err: Error;
      outcome: ReleaseOutcome;
      isEndpointFault: boolean;
    };

/**
 * Takes one request of a caller through its attempts. It alone decides whether the
 * request may have run: before a byte is written to an endpoint it has not.
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

  /** Resolves when the whole answer was sent; rejects with a refusal otherwise. */
  async run(): Promise<void> {
    for (;;) {
      const placement = await this.acquire();
      this.attempts += 1;
      const startMs = performance.now();
      const end = await this.attempt(placement);
      const serviceMs = performance.now() - startMs;
      if (end.type === 'answered') return;
      if (end.runState === 'unknown') this.mayHaveRun = true;
      this.excluded.push(placement.endpointId);
      const isLast = !this.canRetry(end);
      const release = this.services.releases.add({
        requestId: this.id,
        attempt: placement.attempt,
        outcome: end.outcome,
        final: isLast,
        serviceMs,
        isEndpointFault: end.isEndpointFault,
      });
      if (isLast) throw this.createRefusal(end.err);
      await release;
    }
  }

  private async acquire(): Promise<AcquireResult> {
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
      this.giveUp();
      throw this.qualify(toError(err));
    }
  }

  /** Tells the leader that a placement, if there is one, will not be used. */
  private giveUp(): void {
    this.services.releases
      .add({ requestId: this.id, outcome: 'not-run', final: true })
      .catch(() => {});
  }

  private async attempt(placement: AcquireResult): Promise<AttemptEnd> {
    let answer: RelayAnswer;
    try {
      answer = await this.services.exchange.relay({
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
    if (answer.status >= SERVER_ERROR_STATUS && this.mayAttemptAgain()) {
      answer.body.destroy();
      const err = new Error(`endpoint ${placement.endpointId} answered ${answer.status}`);
      // A whole answer proves that the attempt has ended, so that a retry cannot overlap.
      return { type: 'failed', runState: 'unknown', err, outcome: 'failed', isEndpointFault: true };
    }
    return this.pass(placement, answer);
  }

  private async handleExchangeError(placement: AcquireResult, err: Error): Promise<AttemptEnd> {
    const { runState = 'unknown', failure } = err as { runState?: RunState; failure?: string };
    const isEndpointFault = failure !== undefined && ENDPOINT_FAILURES.has(failure);
    if (runState === 'not-run' || err instanceof RefusalError) {
      return { type: 'failed', runState: 'not-run', err, outcome: 'not-run', isEndpointFault };
    }
    const isEnded = this.mayAttemptAgain() && (await this.confirmEnded(placement));
    const outcome = isEnded ? 'failed' : 'unconfirmed';
    return { type: 'failed', runState, err, outcome, isEndpointFault };
  }

  /** Asks the endpoint to stop the attempt, and returns whether it certainly has ended. */
  private async confirmEnded(placement: AcquireResult): Promise<boolean> {
    const { exchange } = this.services;
    const { url, attempt } = placement;
    try {
      await exchange.sendAction(url, attempt, 'stop', { timeoutMs: CONFIRM_TIMEOUT_MS });
      const presence = await exchange.probeAttempt(url, attempt, { timeoutMs: CONFIRM_TIMEOUT_MS });
      return presence !== 'running';
    } catch {
      return false;
    }
  }

  private async pass(placement: AcquireResult, answer: RelayAnswer): Promise<AttemptEnd> {
    const { res, services } = this;
    const startMs = performance.now();
    res.writeHead(answer.status, {
      ...answer.headers,
      'lagoongap-request': this.id,
      'lagoongap-attempts': String(this.attempts),
      'lagoongap-endpoint': placement.endpointId,
    });
    let outcome: ReleaseOutcome = answer.status < SERVER_ERROR_STATUS ? 'succeeded' : 'failed';
    try {
      await pipeline(answer.body, res);
    } catch (reason) {
      // The caller must not take a cut answer for a whole one.
      res.destroy();
      outcome = 'unconfirmed';
      services.log.warn('answer was cut off', {
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

  private mayAttemptAgain(): boolean {
    const { headers, body } = this.request;
    return (
      !headers.noRepeat &&
      body.isReplayable &&
      this.attempts < this.services.maxAttempts &&
      !this.abort.signal.aborted &&
      performance.now() < this.endMs
    );
  }

  private canRetry(end: AttemptEnd & { type: 'failed' }): boolean {
    const { headers, body } = this.request;
    const isSafe = end.runState === 'not-run' ? body.isReplayable : !headers.noRepeat;
    return (
      isSafe &&
      body.isReplayable &&
      !(end.err instanceof RefusalError) &&
      this.attempts < this.services.maxAttempts &&
      !this.abort.signal.aborted &&
      performance.now() < this.endMs &&
      this.services.tryRetry()
    );
  }

  private createRefusal(err: Error): RefusalError {
    if (err instanceof RefusalError) return this.qualify(err);
    return new RefusalError(
      {
        type: this.mayHaveRun ? 'answer-lost' : 'endpoint-failed',
        runState: this.mayHaveRun ? 'unknown' : 'not-run',
        message: `no endpoint answered after ${this.attempts} attempt(s): ${err.message}`,
        requestId: this.id,
      },
      err,
    );
  }

  /** A later refusal does not undo that an earlier attempt may have run. */
  private qualify(err: Error): RefusalError {
    const refusal = err instanceof RefusalError ? err.refusal : undefined;
    return new RefusalError(
      {
        type: refusal?.type ?? 'internal',
        // The leader's word is about placements only; no placement was used for this refusal.
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
