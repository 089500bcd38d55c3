import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { RefusalError } from '@lagoongap/model/refusalError.js';
import { toError } from '@lagoongap/model/toError.js';

import { ConnectionTable, type ClientConnection } from './connectionTable.js';
import type { ClientLimit, LimitReporter } from './limitReporter.js';
import type { ListenerLimits } from './listenerLimits.js';
import { attachReservation, type RequestBudget } from './requestBudget.js';
import { stopParsing } from './stopParsing.js';

/** Options of a {@link ListenerGuard}. */
export interface ListenerGuardOptions {
  limits: ListenerLimits;
  /** Memory for requests in progress, shared by the listeners of a process. */
  budget: RequestBudget;
  reporter: LimitReporter;
  /** Handles an admitted request; must not throw. */
  handle: (req: IncomingMessage, res: ServerResponse) => void;
  /** Sends the response to a request that is refused before it is handled. */
  refuse: (res: ServerResponse, refusal: RefusalError) => void;
}

const CHECK_INTERVAL_MS = 1000;

/**
 * Node.js counts its own timeouts from the start of a connection or request; these only end what
 * escapes the checks of the guard.
 */
const FALLBACK_TIMEOUT_MS = 5 * 60_000;

/** Memory of the name or the value of a header besides its text. */
const HEADER_TEXT_OVERHEAD_BYTES = 64;

function measureHeaders({ url = '', rawHeaders }: IncomingMessage): number {
  let bytes = url.length + rawHeaders.length * HEADER_TEXT_OVERHEAD_BYTES;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}

/** Returns the response bytes of a connection that the kernel has not accepted. */
function measureUnread({ socket, pending }: ClientConnection): number {
  let bytes = socket.writableLength;
  // A response that is next in line counts through its socket.
  for (const res of pending.keys()) if (!res.socket) bytes += res.writableLength;
  return bytes;
}

/**
 * Protects a listener from clients that hold memory and connections: bounds open connections, their
 * idle times, requests sent ahead of their responses, unread response bytes, and the bytes of all
 * requests in progress. A connection beyond a bound is closed, and what is left of its input is not
 * parsed.
 */
export class ListenerGuard implements Disposable {
  private readonly opts: ListenerGuardOptions;
  private readonly table = new ConnectionTable();
  private timer: NodeJS.Timeout | undefined;
  private unreadBytes = 0;
  private active = 0;

  constructor(opts: ListenerGuardOptions) {
    this.opts = opts;
  }

  /** Options for the server that the guard protects; the last one is for TLS. */
  get serverOptions(): {
    maxHeaderSize: number;
    requireHostHeader: boolean;
    handshakeTimeout: number;
  } {
    const { maxHeaderBytes, headerTimeoutMs } = this.opts.limits;
    return {
      maxHeaderSize: maxHeaderBytes,
      requireHostHeader: false,
      handshakeTimeout: headerTimeoutMs,
    };
  }

  /** Number of requests that have neither been answered completely nor lost their connection. */
  get activeRequests(): number {
    return this.active;
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.table.size;
  }

  /** Listener for the requests of the server. */
  readonly listener: RequestListener = (req, res) => this.receive(req, res);

  /**
   * Listener for requests with the header `expect: 100-continue`. By default Node.js confirms each of
   * them, also those that are refused, whether the client reads or not.
   */
  private readonly expectListener: RequestListener = (req, res) => {
    const isFirst = this.table.find(req.socket)?.pending.size === 0;
    this.receive(req, res, () => {
      // A client that sends further requests ahead does not wait for a confirmation.
      if (isFirst && req.readable && !req.complete) res.writeContinue();
    });
  };

  /** Watches the connections of a server; `event` is `secureConnection` for TLS. */
  attach(server: Server, event: 'connection' | 'secureConnection'): void {
    const { maxConnections, idleTimeoutMs, maxHeaders } = this.opts.limits;
    // Node.js ignores further headers, so that a request with as many is refused.
    server.maxHeadersCount = maxHeaders;
    server.keepAliveTimeout = idleTimeoutMs;
    server.headersTimeout = FALLBACK_TIMEOUT_MS;
    server.requestTimeout = 0;
    server.on(event, (socket: Socket) => this.accept(socket));
    server.on('checkExpectation', this.listener);
    server.on('checkContinue', this.expectListener);
    // Connections in their handshake are not in the table.
    if (event === 'secureConnection') server.maxConnections = maxConnections * 2;
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private accept(socket: Socket): void {
    const { limits, reporter } = this.opts;
    if (this.table.size >= limits.maxConnections) {
      const victim = this.table.takeVictim();
      reporter.record('connections');
      if (!victim) {
        socket.destroy();
        return;
      }
      stopParsing(victim.socket);
    }
    const connection = this.table.add(socket);
    socket.once('close', () => this.forget(connection));
  }

  private forget(connection: ClientConnection): void {
    this.table.remove(connection);
    this.unreadBytes -= connection.unreadBytes;
    connection.unreadBytes = 0;
    for (const { end } of [...connection.pending.values()]) end();
  }

  private close(connection: ClientConnection, limit: ClientLimit): void {
    if (connection.socket.destroyed) return;
    this.opts.reporter.record(limit);
    stopParsing(connection.socket);
  }

  private receive(req: IncomingMessage, res: ServerResponse, onAdmitted?: () => void): void {
    const connection = this.table.find(req.socket);
    res.on('error', () => {});
    if (!connection || req.socket.destroyed) return;
    if (connection.isLast) {
      // The client sends on although it has been told that the connection closes.
      stopParsing(req.socket);
      return;
    }
    const { limits, reporter } = this.opts;
    this.measure(connection);
    if (connection.pending.size >= limits.maxPipelinedRequests) {
      this.close(connection, 'pipelined-requests');
    } else if (
      connection.pending.size > 0 &&
      connection.unreadBytes > limits.maxUnreadBytesPerConnection
    ) {
      this.close(connection, 'unread-responses');
    } else if (req.rawHeaders.length >= limits.maxHeaders * 2) {
      reporter.record('headers');
      this.refuse(connection, res, 'invalid-input', `${limits.maxHeaders} or more headers`);
    } else if (req.headers.host === undefined && req.httpVersion === '1.1') {
      reporter.record('no-host');
      this.refuse(connection, res, 'invalid-input', 'the header host is missing');
    } else {
      this.admit(connection, req, res, onAdmitted);
    }
  }

  private admit(
    connection: ClientConnection,
    req: IncomingMessage,
    res: ServerResponse,
    onAdmitted?: () => void,
  ): void {
    let reservation;
    try {
      reservation = this.opts.budget.admit(measureHeaders(req), () => req.complete);
    } catch (err) {
      this.refuseWith(connection, res, toError(err) as RefusalError);
      return;
    }
    attachReservation(req, reservation);
    const end = (): void => {
      if (!connection.pending.delete(res)) return;
      this.active -= 1;
      reservation[Symbol.dispose]();
      this.rest(connection);
    };
    this.active += 1;
    connection.pending.set(res, {
      isReceiving: () => !req.complete && req.readableFlowing !== false,
      end,
    });
    connection.progressMs = performance.now();
    connection.headerSinceMs = undefined;
    this.table.markBusy(connection);
    res.once('close', end);
    res.once('prefinish', () => this.measure(connection));
    onAdmitted?.();
    this.opts.handle(req, res);
  }

  private rest(connection: ClientConnection): void {
    if (connection.pending.size > 0) return;
    connection.bytesAtRest = connection.socket.bytesRead;
    connection.progressMs = performance.now();
    this.table.markIdle(connection);
  }

  private refuse(
    connection: ClientConnection,
    res: ServerResponse,
    type: 'invalid-input',
    message: string,
  ): void {
    this.refuseWith(connection, res, new RefusalError({ type, runState: 'not-run', message }));
  }

  private refuseWith(connection: ClientConnection, res: ServerResponse, err: RefusalError): void {
    connection.isLast = true;
    res.setHeader('connection', 'close');
    this.opts.refuse(res, err);
  }

  /** Updates the unread bytes of a connection, and closes the largest one beyond the bound. */
  private measure(connection: ClientConnection): void {
    if (connection.socket.destroyed) return;
    const unreadBytes = measureUnread(connection);
    this.unreadBytes += unreadBytes - connection.unreadBytes;
    connection.unreadBytes = unreadBytes;
    if (this.unreadBytes <= this.opts.limits.maxUnreadBytes) return;
    let largest = connection;
    for (const other of this.table.values()) {
      if (other.unreadBytes > largest.unreadBytes && !other.socket.destroyed) largest = other;
    }
    // A single large response is within the bounds of any client.
    if (largest.unreadBytes < this.unreadBytes) this.close(largest, 'unread-responses');
  }

  private check(): void {
    const nowMs = performance.now();
    for (const connection of this.table.values()) {
      const limit = this.findExceeded(connection, nowMs);
      if (limit) this.close(connection, limit);
    }
    this.table.rankStalled(nowMs);
  }

  private findExceeded(connection: ClientConnection, nowMs: number): ClientLimit | undefined {
    const { idleTimeoutMs, headerTimeoutMs } = this.opts.limits;
    const { socket, pending } = connection;
    this.measure(connection);
    const { bytesRead } = socket;
    const bytesSent = socket.bytesWritten - socket.writableLength;
    const hasProgress = bytesRead !== connection.bytesRead || bytesSent !== connection.bytesSent;
    if (hasProgress) connection.progressMs = nowMs;
    Object.assign(connection, { bytesRead, bytesSent });
    const isSilent = nowMs - connection.progressMs > idleTimeoutMs;
    if (pending.size === 0) {
      if (bytesRead === connection.bytesAtRest) return isSilent ? 'idle' : undefined;
      connection.headerSinceMs ??= nowMs;
      return nowMs - connection.headerSinceMs > headerTimeoutMs ? 'header-time' : undefined;
    }
    // A request that is complete may wait for its response for as long as it takes.
    const isStalled =
      connection.unreadBytes > 0 || [...pending.values()].some((it) => it.isReceiving());
    return isSilent && isStalled ? 'stalled' : undefined;
  }
}
