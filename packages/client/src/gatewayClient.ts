import { rootCertificates } from 'node:tls';

import type { Refusal } from '@lagoongap/model/refusal.js';
import { toError } from '@lagoongap/model/toError.js';
import { Agent, request } from 'undici';

import { ClientError } from './clientError.js';
import { readRefusal } from './readRefusal.js';

/** Whether a call may be sent again after it may have been received. */
export type Repetition = 'safe' | 'only-if-unsent';

/** One call of the HTTP API. */
export interface GatewayCall {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: string | Buffer;
  repetition: Repetition;
  /** Time for which the gateway may hold the call on purpose, in milliseconds. */
  holdMs?: number;
}

/** Complete response. */
export interface GatewayResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Buffer;
}

/** Options of {@link GatewayClient}. */
export interface GatewayClientOptions {
  /** Base URLs, tried in this order. */
  gateways: string[];
  key?: string;
  /** Time for a command with all its attempts in milliseconds. */
  timeoutMs: number;
  /** Certificates of authorities in PEM format, in addition to those of the system. */
  ca?: string;
  /** Told about each attempt that failed and is repeated. */
  onRetry?: (message: string) => void;
}

/** Result of one attempt that led to no final response. */
interface FailedAttempt {
  /** Whether the gateway certainly did not act on the call. */
  isUnsent: boolean;
  error: ClientError;
  retryAfterMs?: number;
}

/** Longest wait for one gateway, so that the next one is tried before the command times out. */
const ATTEMPT_MS = 5000;

/** Longest wait for a connection; shorter, so that a call is known to be unsent. */
const CONNECT_MS = 3000;

/** Pause between rounds if the gateways ask for none. */
const DEFAULT_PAUSE_MS = 250;

/** Errors that occur before a byte of a call is sent. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
  'CERT_HAS_EXPIRED',
  'DEPTH_ZERO_SELF_SIGNED_CERT',
  'SELF_SIGNED_CERT_IN_CHAIN',
  'UNABLE_TO_GET_ISSUER_CERT_LOCALLY',
  'UNABLE_TO_VERIFY_LEAF_SIGNATURE',
  'ERR_TLS_CERT_ALTNAME_INVALID',
]);

/** Refusals after which another gateway, or the same one later, may accept. */
const TEMPORARY_REFUSALS = new Set(['gateway-not-valid', 'no-leader', 'shutting-down']);

/** Calls the HTTP API of the first gateway that accepts, and repeats only what is safe. */
export class GatewayClient implements AsyncDisposable {
  private readonly agent: Agent;
  private readonly deadlineMs: number;

  constructor(private readonly opts: GatewayClientOptions) {
    const ca = opts.ca === undefined ? undefined : [...rootCertificates, opts.ca];
    this.agent = new Agent({ connect: { timeout: CONNECT_MS, ca }, pipelining: 0 });
    this.deadlineMs = performance.now() + opts.timeoutMs;
  }

  /** Milliseconds until the command times out. */
  get remainingMs(): number {
    return Math.max(0, this.deadlineMs - performance.now());
  }

  /**
   * Sends a call and returns the response, whatever its status, unless it is a temporary refusal.
   *
   * @throws {ClientError} with reason `unreachable` if the call was certainly not acted upon, or
   * `unknown` if it may have been.
   */
  async send(call: GatewayCall): Promise<GatewayResponse> {
    let mayHaveRun: ClientError | undefined;
    let last: FailedAttempt | undefined;
    for (;;) {
      let pauseMs: number | undefined;
      for (const gateway of this.opts.gateways) {
        if (last) this.opts.onRetry?.(last.error.message);
        const result = await this.attempt(gateway, call);
        if ('status' in result) return result;
        last = result;
        if (!result.isUnsent) {
          mayHaveRun = result.error;
          if (call.repetition === 'only-if-unsent') throw result.error;
        }
        const isRefusedForNow = result.error.refusal !== undefined || !result.isUnsent;
        if (isRefusedForNow) pauseMs = result.retryAfterMs ?? DEFAULT_PAUSE_MS;
        if (this.remainingMs === 0) break;
      }
      const isOver = pauseMs === undefined || pauseMs >= this.remainingMs;
      if (isOver) throw this.conclude(call, last!, mayHaveRun);
      await new Promise((resolve) => {
        setTimeout(resolve, pauseMs);
      });
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.agent.destroy();
  }

  /** A call that may have been received once stays in doubt, unless it only reads. */
  private conclude(call: GatewayCall, last: FailedAttempt, doubt?: ClientError): ClientError {
    if (doubt && call.method !== 'GET') return doubt;
    if (last.isUnsent) return last.error;
    return new ClientError('unreachable', 'no gateway answered', { cause: last.error });
  }

  private async attempt(
    gateway: string,
    call: GatewayCall,
  ): Promise<GatewayResponse | FailedAttempt> {
    try {
      const response = await this.exchange(gateway, call);
      const refusal = readRefusal(response);
      if (!refusal || !TEMPORARY_REFUSALS.has(refusal.type)) return response;
      return GatewayClient.describeRefusal(gateway, refusal);
    } catch (err) {
      return GatewayClient.describeFailure(gateway, toError(err));
    }
  }

  private async exchange(gateway: string, call: GatewayCall): Promise<GatewayResponse> {
    const limitMs = Math.min(this.remainingMs, ATTEMPT_MS + (call.holdMs ?? 0));
    const controller = new AbortController();
    const timer = setTimeout(() => {
      controller.abort(new Error(`no complete answer within ${Math.round(limitMs)} ms`));
    }, limitMs);
    try {
      const { key } = this.opts;
      const authorization: Record<string, string> = key ? { authorization: `Bearer ${key}` } : {};
      const res = await request(new URL(call.path, gateway), {
        dispatcher: this.agent,
        method: call.method,
        headers: { ...authorization, ...call.headers },
        body: call.body,
        signal: controller.signal,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      const body = Buffer.from(await res.body.arrayBuffer());
      return { status: res.statusCode, headers: res.headers, body };
    } finally {
      clearTimeout(timer);
    }
  }

  private static describeRefusal(gateway: string, refusal: Refusal): FailedAttempt {
    const isUnsent = refusal.runState === 'not-run';
    const reason = isUnsent ? 'refused' : 'unknown';
    const message = `${gateway} refused: ${refusal.message}`;
    const error = new ClientError(reason, message, { refusal });
    return { isUnsent, error, retryAfterMs: refusal.retryAfterMs };
  }

  private static describeFailure(gateway: string, cause: Error): FailedAttempt {
    const { code, syscall } = cause as NodeJS.ErrnoException;
    const isUnsent = UNSENT_CODES.has(code ?? '') || syscall === 'connect';
    if (isUnsent) {
      const error = new ClientError('unreachable', `${gateway} cannot be reached`, { cause });
      return { isUnsent, error };
    }
    const message = `${gateway} was called, but its answer was lost`;
    return { isUnsent, error: new ClientError('unknown', message, { cause }) };
  }
}
