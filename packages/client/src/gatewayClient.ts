import { rootCertificates } from 'node:tls';

import type { Refusal } from '@lagoongap/model/refusal.js';
import { toError } from '@lagoongap/model/toError.js';
import { Agent, request } from 'undici';

import { ClientError } from './clientError.js';
import { readRefusal } from './readRefusal.js';

/** Whether a call may be resent after a gateway may have received it. */
export type RetryPolicy = 'safe' | 'only-if-unsent';

/** One call of the HTTP API. */
export interface GatewayCall {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: string | Buffer;
  retryPolicy: RetryPolicy;
  /** Time that the gateway may take before it responds, on top of the usual timeout. */
  serverWaitMs?: number;
}

/** Response with its complete body. */
export interface GatewayResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Buffer;
}

/** Options of {@link GatewayClient}. */
export interface GatewayClientOptions {
  /** Base URLs, tried in order. */
  gateways: string[];
  key?: string;
  /** Timeout of a command including all retries. */
  timeoutMs: number;
  /** CA certificates in PEM format, in addition to the root certificates of Node.js. */
  ca?: string;
  /** Called before each retry with the error message of the failed attempt. */
  onRetry?: (message: string) => void;
}

/** Attempt that yielded no final response. */
interface FailedAttempt {
  /** Whether the gateway certainly did not execute the call. */
  isUnsent: boolean;
  error: ClientError;
  retryAfterMs?: number;
}

/** Timeout of one gateway, so that the next one is tried before the command times out. */
const ATTEMPT_TIMEOUT_MS = 5000;

/** Connection timeout; shorter than that of an attempt, so that the call is known to be unsent. */
const CONNECT_TIMEOUT_MS = 3000;

/** Delay between rounds over all gateways if their refusals specify none. */
const DEFAULT_RETRY_DELAY_MS = 250;

/** Error codes that occur before any byte of a call is sent. */
const UNSENT_ERROR_CODES = new Set([
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

/** Refusal types after which another gateway, or the same one later, may accept the call. */
const TEMPORARY_REFUSALS = new Set(['gateway-not-valid', 'no-leader', 'shutting-down']);

/** Client of the HTTP API that tries gateways in order and retries a call only if that is safe. */
export class GatewayClient implements AsyncDisposable {
  private readonly agent: Agent;
  private readonly deadlineMs: number;

  constructor(private readonly opts: GatewayClientOptions) {
    const ca = opts.ca === undefined ? undefined : [...rootCertificates, opts.ca];
    this.agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS, ca }, pipelining: 0 });
    this.deadlineMs = performance.now() + opts.timeoutMs;
  }

  /** Milliseconds until the command times out. */
  get remainingMs(): number {
    return Math.max(0, this.deadlineMs - performance.now());
  }

  /**
   * Sends a call and returns the response, whatever its status. Temporary refusals are retried.
   *
   * @throws {ClientError} with reason `unreachable` or `refused` if the call was certainly not
   * executed, or `unknown` if it may have been.
   */
  async send(call: GatewayCall): Promise<GatewayResponse> {
    let ambiguousError: ClientError | undefined;
    let lastAttempt: FailedAttempt | undefined;
    for (;;) {
      let retryDelayMs: number | undefined;
      for (const gateway of this.opts.gateways) {
        if (lastAttempt) this.opts.onRetry?.(lastAttempt.error.message);
        const result = await this.trySend(gateway, call);
        if ('status' in result) return result;
        lastAttempt = result;
        if (!result.isUnsent) {
          ambiguousError = result.error;
          if (call.retryPolicy === 'only-if-unsent') throw result.error;
        }
        const isRetryable = result.error.refusal !== undefined || !result.isUnsent;
        if (isRetryable) retryDelayMs = result.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS;
        if (this.remainingMs === 0) break;
      }
      const isFinal = retryDelayMs === undefined || retryDelayMs >= this.remainingMs;
      if (isFinal) throw this.selectError(call, lastAttempt!, ambiguousError);
      await new Promise((resolve) => {
        setTimeout(resolve, retryDelayMs);
      });
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.agent.destroy();
  }

  /**
   * Returns the error of a failed call. An attempt that may have been executed takes precedence
   * over the last one, unless the call only reads.
   */
  private selectError(
    call: GatewayCall,
    last: FailedAttempt,
    ambiguousError?: ClientError,
  ): ClientError {
    if (ambiguousError && call.method !== 'GET') return ambiguousError;
    if (last.isUnsent) return last.error;
    return new ClientError('unreachable', 'no gateway responded', { cause: last.error });
  }

  private async trySend(
    gateway: string,
    call: GatewayCall,
  ): Promise<GatewayResponse | FailedAttempt> {
    try {
      const response = await this.sendOnce(gateway, call);
      const refusal = readRefusal(response);
      if (!refusal || !TEMPORARY_REFUSALS.has(refusal.type)) return response;
      return GatewayClient.describeRefusal(gateway, refusal);
    } catch (err) {
      return GatewayClient.describeFailure(gateway, toError(err));
    }
  }

  private async sendOnce(gateway: string, call: GatewayCall): Promise<GatewayResponse> {
    const timeoutMs = Math.min(this.remainingMs, ATTEMPT_TIMEOUT_MS + (call.serverWaitMs ?? 0));
    const controller = new AbortController();
    const timer = setTimeout(() => {
      controller.abort(new Error(`no complete response within ${Math.round(timeoutMs)} ms`));
    }, timeoutMs);
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
    const isUnsent = UNSENT_ERROR_CODES.has(code ?? '') || syscall === 'connect';
    if (isUnsent) {
      const error = new ClientError('unreachable', `${gateway} cannot be reached`, { cause });
      return { isUnsent, error };
    }
    const message = `${gateway} was called, but its response was lost`;
    return { isUnsent, error: new ClientError('unknown', message, { cause }) };
  }
}
