import { connect as connectTcp, type Socket } from 'node:net';
import { connect as connectTls, type TLSSocket } from 'node:tls';

import { isControl, PROTOCOL_VERSION } from './controlMessage.js';
import type { FrameMessage } from './frameCodec.js';
import { FramedConnection, type SendResult } from './framedConnection.js';
import { FullJitterBackoff } from './fullJitterBackoff.js';
import type { PeerCounters } from './peerCounters.js';
import { PeerError } from './peerError.js';
import { HELLO_FRAME_BYTES, type ConnectionLimits, type PeerAddress } from './peeringOptions.js';
import type { PeerLogger } from './peerLogger.js';
import type { PeerCallOptions } from './peerNetwork.js';
import { PeerUnavailableError } from './peerUnavailableError.js';
import { RpcClient } from './rpcClient.js';
import type { TlsCredentials } from './tlsCredentials.js';

/** Options of a {@link PeerDialler}. */
export interface PeerDiallerOptions {
  selfId: string;
  peer: PeerAddress;
  limits: ConnectionLimits;
  credentials?: TlsCredentials;
  counters: PeerCounters;
  logger: PeerLogger;
  /** Called for each frame from the peer, starting with its welcome. */
  onFrame: () => void;
}

/** A connection attempt; its promise resolves with the welcome of the peer or with its failure. */
interface Attempt {
  promise: Promise<void>;
  end: () => void;
}

function createAttempt(): Attempt {
  let end = (): void => undefined;
  const promise = new Promise<void>((resolve) => {
    end = resolve;
  });
  return { promise, end };
}

/**
 * Maintains one outgoing connection to a peer and calls the peer over it. Reconnects with a backoff
 * when the connection fails.
 */
export class PeerDialler implements AsyncDisposable {
  private readonly opts: PeerDiallerOptions;
  private readonly backoff = new FullJitterBackoff();
  private connection: FramedConnection | undefined;
  /** Monotonic time of the latest connection attempt. */
  private dialledMs = -Infinity;
  private attempt = createAttempt();
  /** Set from the peer's welcome until the connection is closed. */
  private client: RpcClient | undefined;
  private pingTimer: NodeJS.Timeout | undefined;
  private dialTimer: NodeJS.Timeout | undefined;
  private retryTimer: NodeJS.Timeout | undefined;
  private isDisposed = false;

  constructor(opts: PeerDiallerOptions) {
    this.opts = opts;
  }

  start(): void {
    this.dial();
  }

  /**
   * Reconnects immediately if a retry is scheduled; called when the peer is known to be reachable.
   */
  retryNow(): void {
    if (this.retryTimer) this.dial();
  }

  async call(method: string, params: unknown, opts: PeerCallOptions): Promise<unknown> {
    const startMs = performance.now();
    if (!this.client) await this.waitForConnection(opts);
    const timeoutMs = opts.timeoutMs - (performance.now() - startMs);
    if (!this.client || timeoutMs <= 0) {
      throw new PeerUnavailableError(this.opts.peer.id, 'there is no connection');
    }
    return this.client.call(method, params, timeoutMs);
  }

  notify(method: string, params: unknown): void {
    if (this.client) this.client.notify(method, params);
    else this.opts.counters.dropped += 1;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    clearTimeout(this.retryTimer);
    this.retryTimer = undefined;
    await this.connection?.close();
  }

  /** Resolves when the connection attempt in progress has ended, or has taken too long. */
  private async waitForConnection({ timeoutMs, connectMs = 0 }: PeerCallOptions): Promise<void> {
    const elapsedMs = performance.now() - this.dialledMs;
    const waitMs = Math.min(timeoutMs, connectMs - elapsedMs);
    if (!this.connection || waitMs <= 0) return;
    let timer: NodeJS.Timeout | undefined;
    await Promise.race([
      this.attempt.promise,
      new Promise((resolve) => {
        timer = setTimeout(resolve, waitMs);
      }),
    ]);
    clearTimeout(timer);
  }

  private dial(): void {
    this.dialledMs = performance.now();
    this.attempt = createAttempt();
    clearTimeout(this.retryTimer);
    this.retryTimer = undefined;
    const { limits, credentials, counters } = this.opts;
    const socket = this.openSocket();
    const connection = new FramedConnection({
      socket,
      maxFrameBytes: HELLO_FRAME_BYTES,
      maxSendBufferBytes: limits.maxSendBufferBytes,
      silenceMs: limits.silenceMs,
      onMessage: (message) => this.receive(connection, message),
      onClose: (cause) => this.handleClose(connection, cause),
    });
    connection.attachCounters(counters);
    this.connection = connection;
    this.dialTimer = setTimeout(
      () => connection.reset(new PeerError(`no welcome within ${limits.dialTimeoutMs} ms`)),
      limits.dialTimeoutMs,
    );
    socket.once(credentials ? 'secureConnect' : 'connect', () => this.sendHello(connection));
  }

  private openSocket(): Socket {
    const { peer, credentials } = this.opts;
    const { host, port } = peer;
    if (!credentials) return connectTcp({ host, port });
    return connectTls({
      host,
      port,
      secureContext: credentials.context,
      // Certificates are issued for instance ids, not host names; `sendHello` checks the name.
      checkServerIdentity: () => undefined,
    });
  }

  private sendHello(connection: FramedConnection): void {
    const { selfId, peer, credentials } = this.opts;
    const fault = credentials?.checkName(connection.socket as TLSSocket, peer.id);
    if (fault) {
      connection.reset(new PeerError(fault));
      return;
    }
    const hello = { control: 'hello', protocol: PROTOCOL_VERSION, from: selfId, to: peer.id };
    connection.send(hello, HELLO_FRAME_BYTES);
  }

  private receive(connection: FramedConnection, message: FrameMessage): void {
    if (!this.client) {
      this.acceptWelcome(connection, message);
      return;
    }
    this.opts.onFrame();
    if (!isControl(message, 'pong')) this.client.receive(message);
  }

  private acceptWelcome(connection: FramedConnection, message: FrameMessage): void {
    const { selfId, peer, limits, counters, logger } = this.opts;
    if (!isControl(message, 'welcome') || message.from !== peer.id || message.to !== selfId) {
      throw new PeerError(`expected a welcome from instance ${peer.id}`);
    }
    clearTimeout(this.dialTimer);
    this.backoff.reset();
    counters.connects += 1;
    connection.raiseFrameLimit(limits.maxFrameBytes);
    const logLate = (method: string, lateMs: number): void =>
      logger.warn('response came too late', { peer: peer.id, method, lateMs: Math.round(lateMs) });
    this.client = new RpcClient(peer.id, (rpc) => this.send(connection, rpc), logLate);
    this.pingTimer = setInterval(() => this.ping(connection), limits.pingMs);
    this.opts.onFrame();
    logger.info('connected to instance', { peer: peer.id });
    this.attempt.end();
  }

  private send(connection: FramedConnection, message: unknown): SendResult {
    const isNotification = (message as { id?: unknown }).id === undefined;
    let result: SendResult | undefined;
    try {
      result = connection.send(message, this.opts.limits.maxFrameBytes);
      return result;
    } finally {
      if (isNotification && result !== 'queued') this.opts.counters.dropped += 1;
    }
  }

  private ping(connection: FramedConnection): void {
    connection.send({ control: 'ping' }, HELLO_FRAME_BYTES);
  }

  private handleClose(connection: FramedConnection, cause: Error): void {
    if (connection !== this.connection) return;
    clearTimeout(this.dialTimer);
    clearInterval(this.pingTimer);
    const { client } = this;
    this.client = undefined;
    this.connection = undefined;
    this.attempt.end();
    client?.close(cause);
    const { peer, logger } = this.opts;
    const details = { peer: peer.id, reason: cause.message };
    if (client && !this.isDisposed) logger.warn('connection to instance lost', details);
    else logger.debug('connection or connection attempt closed', details);
    if (this.isDisposed) return;
    this.retryTimer = setTimeout(() => this.dial(), this.backoff.nextDelayMs());
  }
}
