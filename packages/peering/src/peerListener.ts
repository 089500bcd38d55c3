import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import {
  createServer as createTlsServer,
  type Server as TlsServer,
  type TLSSocket,
} from 'node:tls';

import { isControl, PROTOCOL_VERSION } from './controlMessage.js';
import type { FrameMessage } from './frameCodec.js';
import { FramedConnection } from './framedConnection.js';
import type { PeerCounters } from './peerCounters.js';
import { PeerError } from './peerError.js';
import { HELLO_FRAME_BYTES, type ConnectionLimits } from './peeringOptions.js';
import type { PeerLogger } from './peerLogger.js';
import type { TlsCredentials } from './tlsCredentials.js';

/** Sends the response to a request. */
export type ResponseSender = (response: unknown) => void;

/** Options of a {@link PeerListener}. */
export interface PeerListenerOptions {
  selfId: string;
  listen: { host: string; port: number };
  limits: ConnectionLimits;
  /** Limit on concurrently open connections; further ones are refused. */
  maxConnections?: number;
  credentials?: TlsCredentials;
  logger: PeerLogger;
  /** Returns the counters of a known instance, or undefined if the instance is unknown. */
  findCounters: (instanceId: string) => PeerCounters | undefined;
  /** Called when an instance has identified itself on a new connection. */
  onHello: (from: string) => void;
  /** Called for each frame from an identified instance after its hello. */
  onFrame: (from: string) => void;
  /** Called for each JSON-RPC message from an identified instance. */
  onRequest: (message: FrameMessage, from: string, sendResponse: ResponseSender) => void;
}

const DEFAULT_MAX_CONNECTIONS = 1024;

/** Accepts connections from other instances and receives their calls. */
export class PeerListener implements AsyncDisposable {
  private readonly opts: PeerListenerOptions;
  private readonly server: Server;
  private readonly connections = new Set<FramedConnection>();
  private readonly identifiedConnections = new Map<string, FramedConnection>();
  private readonly sockets = new Set<Socket>();

  constructor(opts: PeerListenerOptions) {
    this.opts = opts;
    this.server = this.createServer();
    this.server.maxConnections = opts.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  }

  /** Resolves when the port is bound; rejects with PeerError if binding fails. */
  async start(): Promise<void> {
    const { listen, logger } = this.opts;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', (cause) => {
        reject(new PeerError(`cannot listen on ${listen.host} port ${listen.port}`, { cause }));
      });
      this.server.listen(listen.port, listen.host, () => {
        this.server.removeAllListeners('error');
        resolve();
      });
    });
    this.server.on('error', (err) => logger.error('listener failed', { error: err.message }));
  }

  /** Address that the port is bound to. */
  get address(): { host: string; port: number } {
    const { address, port } = this.server.address() as AddressInfo;
    return { host: address, port };
  }

  /** Applies reloaded credentials to new connections. */
  reloadCredentials(): void {
    const { credentials } = this.opts;
    if (credentials) (this.server as TlsServer).setSecureContext(credentials.material);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    await Promise.all([...this.connections].map((connection) => connection.close()));
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  private createServer(): Server {
    const { credentials, limits, logger } = this.opts;
    if (!credentials) return createServer((socket) => this.accept(socket));
    const server = createTlsServer(
      {
        ...credentials.material,
        requestCert: true,
        rejectUnauthorized: true,
        handshakeTimeout: limits.dialTimeoutMs,
      },
      (socket) => this.accept(socket),
    );
    server.on('tlsClientError', (err, socket) => {
      const details = { remote: socket.remoteAddress, error: err.message };
      logger.warn('TLS handshake with a peer failed', details);
      socket.destroy();
    });
    // `server.close` also waits for sockets in the TLS handshake, which have no FramedConnection
    // yet. They are tracked here, so that disposal can destroy them.
    server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    return server;
  }

  private accept(socket: Socket): void {
    const { limits } = this.opts;
    let from: string | undefined;
    const connection = new FramedConnection({
      socket,
      maxFrameBytes: HELLO_FRAME_BYTES,
      maxSendBufferBytes: limits.maxSendBufferBytes,
      silenceMs: limits.silenceMs,
      onMessage: (message) => {
        if (from === undefined) from = this.acceptHello(connection, message);
        else this.receive(connection, message, from);
      },
      onClose: (cause) => this.forget(connection, from, cause),
    });
    this.connections.add(connection);
  }

  private acceptHello(connection: FramedConnection, message: FrameMessage): string {
    const { selfId, credentials, limits, findCounters, onHello } = this.opts;
    if (!isControl(message, 'hello')) throw new PeerError('expected a hello as the first frame');
    const { from, to, protocol } = message;
    if (protocol !== PROTOCOL_VERSION) throw new PeerError(`unsupported protocol ${protocol}`);
    if (to !== selfId) throw new PeerError(`hello is addressed to instance ${to}`);
    const counters = findCounters(from);
    if (!counters) throw new PeerError(`hello is from unknown instance ${from}`);
    const fault = credentials?.checkName(connection.socket as TLSSocket, from);
    if (fault) throw new PeerError(fault);
    connection.attachCounters(counters);
    connection.raiseFrameLimit(limits.maxFrameBytes);
    // An instance dials only one connection at a time, so an earlier one is dead even if TCP has
    // not reported it yet.
    this.identifiedConnections.get(from)?.reset(new PeerError('replaced by a new connection'));
    this.identifiedConnections.set(from, connection);
    connection.send({ control: 'welcome', from: selfId, to: from }, HELLO_FRAME_BYTES);
    onHello(from);
    return from;
  }

  private receive(connection: FramedConnection, message: FrameMessage, from: string): void {
    this.opts.onFrame(from);
    if (isControl(message, 'ping')) {
      connection.send({ control: 'pong' }, HELLO_FRAME_BYTES);
      return;
    }
    this.opts.onRequest(message, from, (response) => this.answer(connection, response));
  }

  private answer(connection: FramedConnection, response: unknown): void {
    const result = connection.send(response, this.opts.limits.maxFrameBytes);
    if (result !== 'queued') connection.counters.dropped += 1;
  }

  private forget(connection: FramedConnection, from: string | undefined, cause: Error): void {
    this.connections.delete(connection);
    if (from !== undefined && this.identifiedConnections.get(from) === connection) {
      this.identifiedConnections.delete(from);
    }
    const { logger } = this.opts;
    const details = { peer: from, reason: cause.message };
    if (from === undefined) logger.warn('connection closed before hello was accepted', details);
    else logger.debug('connection from instance closed', details);
  }
}
