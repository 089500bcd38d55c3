import type { IncomingMessage, ServerResponse } from 'node:http';

import type { AccessKey } from '@lagoongap/model/clusterConfig.js';
import { createId } from '@lagoongap/model/idGenerator.js';
import type {
  CancelParams,
  CancelResult,
  JobView,
  LookupParams,
  RequestView,
  SubmitJobParams,
  SubmitJobResult,
} from '@lagoongap/model/messages.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';

import type { Authenticator } from './authenticator.js';
import { readJson } from './bodyReader.js';
import { readCallerBody } from './callerBody.js';
import { listForwardedHeaders } from './forwardedHeaders.js';
import { readHeader, refuse, sendJson } from './httpResponse.js';
import type { HttpRouter, RoutedCall } from './httpRouter.js';
import type { LeaderClient } from './leaderClient.js';
import { readRequestHeaders } from './requestHeaders.js';
import type { RequestAdmission } from './requestAdmission.js';
import { RequestRelay, type RelayServices } from './requestRelay.js';
import { cancelSchema, jobSpecSchema, parseWith } from './schemas.js';

/** Options of {@link CallerApi}. */
export interface CallerApiOptions {
  authenticator: Authenticator;
  leader: LeaderClient;
  relay: RelayServices;
  maxBodyBytes: number;
  admission: RequestAdmission;
  /** Called once for each request of a caller, not for its retries. */
  onFreshRequest: () => void;
}

const CALL_DEADLINE_MS = 15_000;
const MAX_WAIT_MS = 60_000;

/** Time after which a cancellation that was not recorded may be repeated; others have to expire. */
const NOT_RECORDED_RETRY_AFTER_MS = 30_000;

const MAX_IDEMPOTENCY_KEY_LENGTH = 128;

/** HTTP API for callers: requests and jobs. */
export class CallerApi {
  private readonly opts: CallerApiOptions;

  constructor(opts: CallerApiOptions) {
    this.opts = opts;
  }

  register(router: HttpRouter): void {
    router.add('POST', '/v1/requests', ({ req, res }) => this.relayRequest(req, res));
    router.add('GET', '/v1/requests/{id}', (call) => this.lookupRequest(call));
    router.add('POST', '/v1/jobs', (call) => this.submitJob(call), { dropsAbandoned: true });
    router.add('GET', '/v1/jobs/{id}', (call) => this.lookupJob(call));
    router.add('DELETE', '/v1/jobs/{id}', (call) => this.cancelJobs(call, [call.params.id!]));
    router.add('POST', '/v1/jobs/cancel', async (call) => {
      const { ids } = parseWith(cancelSchema, await readJson(call.req));
      await this.cancelJobs(call, ids);
    });
  }

  private async relayRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { relay, maxBodyBytes, admission, onFreshRequest } = this.opts;
    relay.validity.assertValid();
    const key = this.authenticateCaller(req);
    const headers = readRequestHeaders(req);
    const queue = relay.validity.config.queues[headers.queue];
    if (!key && queue && !queue.open)
      refuse('unauthenticated', `queue ${queue.name} requires a key`);
    const admissionSlot = admission.admit(key?.team ?? queue?.chargedTeam ?? '');
    try {
      const body = await readCallerBody(req, maxBodyBytes);
      onFreshRequest();
      const forwarded = listForwardedHeaders(req);
      await new RequestRelay(relay, { headers, forwarded, body, keyId: key?.id }, req, res).run();
    } finally {
      admissionSlot[Symbol.dispose]();
    }
  }

  private async lookupRequest({ req, res, params }: RoutedCall): Promise<void> {
    const key = this.authenticateCaller(req);
    const view = await this.call<RequestView | null>('requests.lookup', {
      id: params.id!,
      keyId: key?.id,
    });
    if (!view || (key && key.role !== 'operator' && key.team !== view.team)) {
      refuse('not-found', `there is no request ${params.id}`);
    }
    sendJson(res, 200, view);
  }

  private async submitJob({ req, res }: RoutedCall): Promise<void> {
    const { leader, relay } = this.opts;
    relay.validity.assertValid();
    const key = this.authenticateCaller(req);
    const idempotencyKey = this.readIdempotencyKey(req);
    const spec = parseWith(jobSpecSchema, await readJson(req));
    const id = createId('job');
    const params: SubmitJobParams = { id, keyId: key?.id, spec, idempotencyKey };
    try {
      const result = await leader.call<SubmitJobResult>('jobs.submit', params, {
        deadlineMs: CALL_DEADLINE_MS,
      });
      sendJson(res, result.duplicate ? 200 : 202, result);
    } catch (err) {
      if (!(err instanceof RefusalError)) throw err;
      // With this id the caller can look up whether the job was accepted.
      throw new RefusalError({ ...err.refusal, requestId: err.refusal.requestId ?? id }, err);
    }
  }

  private async lookupJob({ req, res, params, query }: RoutedCall): Promise<void> {
    const key = this.authenticateCaller(req);
    const waitMs = Number(query.get('waitMs') ?? 0);
    if (!Number.isInteger(waitMs) || waitMs < 0 || waitMs > MAX_WAIT_MS) {
      refuse('invalid-input', `waitMs: expected an integer from 0 to ${MAX_WAIT_MS}`);
    }
    const lookup: LookupParams = { id: params.id!, keyId: key?.id, waitMs };
    const view = await this.call<JobView>('jobs.lookup', lookup, CALL_DEADLINE_MS + waitMs);
    sendJson(res, 200, view);
  }

  private async cancelJobs({ req, res }: RoutedCall, ids: string[]): Promise<void> {
    const key = this.authenticateCaller(req);
    const params: CancelParams = { ids, keyId: key?.id };
    const result = await this.call<CancelResult>('jobs.cancel', params);
    const [firstJob] = result.jobs;
    if (ids.length === 1 && firstJob?.state === 'not-found') {
      refuse('not-found', `there is no job ${ids[0]}`);
    }
    if (ids.length === 1 && firstJob?.state === 'not-recorded') {
      throw new RefusalError({
        type: 'over-limit',
        runState: 'not-run',
        message: `there is no job ${ids[0]}, and too many unknown jobs have been cancelled to record it`,
        retryAfterMs: NOT_RECORDED_RETRY_AFTER_MS,
      });
    }
    sendJson(res, 200, result);
  }

  private call<Result>(
    method: string,
    params: unknown,
    deadlineMs = CALL_DEADLINE_MS,
  ): Promise<Result> {
    this.opts.relay.validity.assertValid();
    return this.opts.leader.call<Result>(method, params, { deadlineMs });
  }

  private authenticateCaller(req: IncomingMessage): AccessKey | undefined {
    this.opts.relay.validity.assertValid();
    const key = this.opts.authenticator.authenticate(req);
    if (key?.role === 'endpoint') {
      refuse('forbidden', 'a key with the role endpoint cannot submit or see work');
    }
    return key;
  }

  private readIdempotencyKey(req: IncomingMessage): string | undefined {
    const value = readHeader(req, 'idempotency-key');
    if (value !== undefined && (value === '' || value.length > MAX_IDEMPOTENCY_KEY_LENGTH)) {
      refuse(
        'invalid-input',
        `header idempotency-key: expected 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`,
      );
    }
    return value;
  }
}
