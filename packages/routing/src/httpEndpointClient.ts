import type { Readable } from 'node:stream';

import type { AttemptAction, StartOrder } from '@lagoongap/model/endpoint.js';
import { toError } from '@lagoongap/model/toError.js';

import { ConnectionPool } from './connectionPool.js';
import { Deadline } from './deadline.js';
import type {
  AttemptPresence,
  EndpointClient,
  RelayResponse,
  RelayRequest,
  StartResult,
} from './endpointClient.js';
import { ExchangeError } from './exchangeError.js';
import { ExchangeHandler, type IncomingResponse } from './exchangeHandler.js';
import { filterResponseHeaders, filterRequestHeaders } from './headerFilter.js';
import { RequestBody } from './requestBody.js';
import { InactivityWatchdog } from './inactivityWatchdog.js';

/** Limits of an {@link HttpEndpointClient}; all times in milliseconds. */
export interface HttpEndpointClientOptions {
  maxConnectionsPerEndpoint: number;
  maxConnections: number;
  /** Longest time to establish a connection. */
  dialTimeoutMs: number;
  /** Idle time after which a connection is closed; shorter than that of the endpoints' servers. */
  maxIdleMs: number;
  /** Inactivity during an exchange after which the endpoint is probed for the attempt. */
  maxInactivityMs: number;
  /** Delay between probes of a suspect exchange. */
  recheckMs: number;
  probeTimeoutMs: number;
  /** Number of probes that fail in a row before the exchange fails. */
  maxFailedProbes: number;
}

/** Default limits. */
export const DEFAULT_ENDPOINT_CLIENT_OPTIONS: Readonly<HttpEndpointClientOptions> = Object.freeze({
  maxConnectionsPerEndpoint: 32,
  maxConnections: 512,
  dialTimeoutMs: 1000,
  maxIdleMs: 2000,
  maxInactivityMs: 2000,
  recheckMs: 500,
  probeTimeoutMs: 1000,
  maxFailedProbes: 3,
});

/** Maximum size of a response to an order or probe, in bytes. */
const MAX_JSON_BYTES = 65_536;

interface CallOptions {
  timeoutMs: number;
  beforeSend?: () => void;
  needsNewConnection?: boolean;
  isProbe?: boolean;
}

interface DispatchRequest {
  method: 'GET' | 'POST';
  path: string;
  headers: Record<string, string>;
  body: Buffer | AsyncIterable<Buffer> | null;
}

interface DispatchContext {
  deadline: Deadline;
  needsNewConnection: boolean;
  isProbe?: boolean;
  signal?: AbortSignal;
  beforeSend?: () => void;
  checkHead?: (head: Omit<IncomingResponse, 'body'>) => void;
  /** Returns whether the whole request body has been read. */
  isBodySent: () => boolean;
  /** Creates the inactivity watchdog of the exchange; called before the request is dispatched. */
  createWatchdog?: (handler: ExchangeHandler) => InactivityWatchdog;
}

/** Settles like `promise`, or rejects with `not-run` if the deadline or an abort comes first. */
async function waitBeforeSend<T>(promise: Promise<T>, context: DispatchContext): Promise<T> {
  let cancel = () => {};
  const interrupted = new Promise<never>((_resolve, reject) => {
    const onAbort = () =>
      reject(new ExchangeError('caller-gone', 'not-run', 'caller disconnected'));
    const cancelDeadline = context.deadline.onPassed(() => {
      const message = 'the deadline passed while awaiting the request body';
      reject(new ExchangeError('deadline-exceeded', 'not-run', message));
    });
    context.signal?.addEventListener('abort', onAbort);
    cancel = () => {
      cancelDeadline();
      context.signal?.removeEventListener('abort', onAbort);
    };
  });
  try {
    return await Promise.race([promise, interrupted]);
  } finally {
    cancel();
  }
}

async function readJson(response: IncomingResponse): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of response.body) {
    length += (chunk as Buffer).length;
    if (length > MAX_JSON_BYTES) {
      throw new ExchangeError(
        'answer-invalid',
        'unknown',
        'the response of the endpoint is too long',
      );
    }
    chunks.push(chunk as Buffer);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>;
  } catch (err) {
    const message = 'the response of the endpoint is not valid JSON';
    throw new ExchangeError('answer-invalid', 'unknown', message, toError(err));
  }
}

/** Endpoint client over HTTP/1.1 with one exchange at a time on each connection. */
export class HttpEndpointClient implements EndpointClient {
  private readonly opts: HttpEndpointClientOptions;
  private readonly connections: ConnectionPool;

  constructor(opts: Partial<HttpEndpointClientOptions> = {}) {
    this.opts = { ...DEFAULT_ENDPOINT_CLIENT_OPTIONS, ...opts };
    this.connections = new ConnectionPool({
      maxPerEndpoint: this.opts.maxConnectionsPerEndpoint,
      maxTotal: this.opts.maxConnections,
      maxIdleMs: this.opts.maxIdleMs,
    });
  }

  /** Number of open connections, idle ones included. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Relays a request; the response body fails with ExchangeError if it is truncated. */
  async relay(req: RelayRequest): Promise<RelayResponse> {
    const deadline = new Deadline(req.deadlineMs);
    const requestBody = new RequestBody(req.body);
    const context: DispatchContext = {
      deadline,
      // A reused connection may be dead without notice; only a new handshake rules this out. A
      // request of this kind cannot be retried if it is lost.
      needsNewConnection: req.noRepeat === true,
      signal: req.signal,
      beforeSend: req.beforeSend,
      checkHead: ({ headers }) => HttpEndpointClient.checkAttempt(req.attempt, headers),
      isBodySent: () => requestBody.isRead,
      createWatchdog: (handler) => {
        const watchdog = this.createWatchdog(
          req,
          handler,
          () => handler.isStalledLocally || requestBody.isAwaitingCaller,
        );
        requestBody.onRead = () => watchdog.recordActivity();
        return watchdog;
      },
    };
    const body = await waitBeforeSend(requestBody.open(), context);
    const headers = filterRequestHeaders(req.headers);
    if (Buffer.isBuffer(body) || body === null) delete headers['content-length'];
    headers['lagoongap-attempt'] = req.attempt;
    headers['lagoongap-token'] = String(req.token);
    headers['lagoongap-team'] = req.team;
    headers['lagoongap-work'] = req.work;
    headers['lagoongap-deadline-ms'] = String(Math.floor(deadline.remainingMs()));
    const response = await this.dispatch(
      req.url,
      { method: 'POST', path: '/requests', headers, body },
      context,
    );
    return {
      status: response.status,
      headers: filterResponseHeaders(response.headers),
      body: response.body,
    };
  }

  /** Sends a start order. */
  async startTask(
    url: string,
    order: StartOrder,
    opts: { timeoutMs: number; beforeSend?: () => void },
  ): Promise<StartResult> {
    const { status } = await this.call(url, '/tasks', order, { ...opts, needsNewConnection: true });
    if (status < 300) return 'started';
    if (status === 409) return 'refused-stale';
    // With any other server error, the task may have started.
    if (status < 500 || status === 503) return 'refused';
    throw new ExchangeError('answer-invalid', 'unknown', `the endpoint responded with ${status}`);
  }

  /** Sends an action for a running attempt; a response that it no longer runs is no error. */
  async sendAction(
    url: string,
    attempt: string,
    action: AttemptAction,
    opts: { timeoutMs: number; beforeSend?: () => void },
  ): Promise<void> {
    const path = `/tasks/${encodeURIComponent(attempt)}/actions`;
    const { status } = await this.call(url, path, { action }, opts);
    if (status >= 300 && status !== 404) {
      throw new ExchangeError('answer-invalid', 'unknown', `the endpoint responded with ${status}`);
    }
  }

  /** Queries the state of an attempt, always on a new connection. */
  async probeAttempt(
    url: string,
    attempt: string,
    { timeoutMs }: { timeoutMs: number },
  ): Promise<AttemptPresence> {
    const path = `/attempts/${encodeURIComponent(attempt)}`;
    const { status, body } = await this.call(url, path, null, {
      timeoutMs,
      needsNewConnection: true,
      isProbe: true,
    });
    const { state } = body;
    if (status === 200 && (state === 'running' || state === 'finished' || state === 'absent')) {
      return state;
    }
    throw new ExchangeError('answer-invalid', 'unknown', `the endpoint responded with ${status}`);
  }

  /** Closes all connections; exchanges in progress fail. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.connections.close();
  }

  private async call(
    url: string,
    path: string,
    body: unknown,
    { timeoutMs, beforeSend, needsNewConnection = false, isProbe }: CallOptions,
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    const response = await this.dispatch(
      url,
      {
        method: body === null ? 'GET' : 'POST',
        path,
        headers: body === null ? {} : { 'content-type': 'application/json' },
        body: body === null ? null : Buffer.from(JSON.stringify(body)),
      },
      {
        deadline: new Deadline(timeoutMs),
        needsNewConnection,
        isProbe,
        beforeSend,
        isBodySent: () => true,
      },
    );
    return { status: response.status, body: await readJson(response) };
  }

  private async dispatch(
    url: string,
    req: DispatchRequest,
    context: DispatchContext,
  ): Promise<IncomingResponse> {
    const { deadline, signal } = context;
    if (signal?.aborted) throw new ExchangeError('caller-gone', 'not-run', 'caller disconnected');
    const { origin, pathname } = HttpEndpointClient.parseUrl(url);
    const connection = this.connections.acquire(origin, {
      needsNewConnection: context.needsNewConnection,
      isProbe: context.isProbe,
      dialTimeoutMs: Math.max(1, Math.min(this.opts.dialTimeoutMs, deadline.remainingMs())),
    });
    const handler = new ExchangeHandler({
      connection,
      deadline,
      beforeSend: context.beforeSend,
      checkHead: context.checkHead,
    });
    const watchdog = context.createWatchdog?.(handler);
    const onAbort = () => handler.fail('caller-gone', 'caller disconnected');
    const cancelDeadline = deadline.onPassed(() =>
      handler.fail('deadline-exceeded', 'the deadline passed before the response was complete'),
    );
    signal?.addEventListener('abort', onAbort);
    handler.onActivity = () => watchdog?.recordActivity();
    handler.onSettled = (isComplete) => {
      watchdog?.stop();
      cancelDeadline();
      signal?.removeEventListener('abort', onAbort);
      this.connections.release(connection, isComplete && !context.isProbe && context.isBodySent());
    };
    const { method, headers, body } = req;
    const path = `${pathname.replace(/\/$/, '')}${req.path}`;
    try {
      connection.client.dispatch(
        { method, path, headers, body: body as Readable | Buffer },
        handler,
      );
    } catch (err) {
      handler.fail('prevented', 'the request is invalid', toError(err));
    }
    return handler.answer;
  }

  private createWatchdog(
    req: RelayRequest,
    handler: ExchangeHandler,
    isStalledLocally: () => boolean,
  ): InactivityWatchdog {
    const { maxInactivityMs, recheckMs, maxFailedProbes, probeTimeoutMs } = this.opts;
    return new InactivityWatchdog({
      maxInactivityMs,
      recheckMs,
      maxFailedProbes,
      probe: () => this.probeAttempt(req.url, req.attempt, { timeoutMs: probeTimeoutMs }),
      isStalledLocally,
      onUnresponsive: (reason) =>
        handler.fail('endpoint-silent', `the endpoint is unresponsive: ${reason}`),
    });
  }

  private static parseUrl(url: string): URL {
    try {
      return new URL(url);
    } catch (err) {
      throw new ExchangeError('prevented', 'not-run', `invalid endpoint URL: ${url}`, toError(err));
    }
  }

  private static checkAttempt(attempt: string, headers: IncomingResponse['headers']): void {
    const receivedAttempt = headers['lagoongap-attempt'];
    if (receivedAttempt === attempt) return;
    const message = `the response is for attempt ${String(receivedAttempt)}, not ${attempt}`;
    throw new ExchangeError('answer-mismatch', 'unknown', message);
  }
}
