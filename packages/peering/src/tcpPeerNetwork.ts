import { toError } from '@lagoongap/model/toError.js';
import { createJSONRPCErrorResponse, type JSONRPCResponse } from 'json-rpc-2.0';

import { FailureDetector } from './failureDetector.js';
import type { FrameMessage } from './frameCodec.js';
import { createPeerCounters, type PeerCounters } from './peerCounters.js';
import { PeerDialler } from './peerDialler.js';
import { PeerError } from './peerError.js';
import {
  resolveLimits,
  type ConnectionLimits,
  type PeerAddress,
  type TcpPeerNetworkOptions,
} from './peeringOptions.js';
import { PeerListener, type ResponseSender } from './peerListener.js';
import { SILENT_LOGGER, type PeerLogger } from './peerLogger.js';
import type { PeerCallOptions, PeerMethodHandler, PeerNetwork } from './peerNetwork.js';
import { PeerTimeoutError } from './peerTimeoutError.js';
import { PeerUnavailableError } from './peerUnavailableError.js';
import { RESPONSE_NOT_SENDABLE_CODE } from './rpcErrors.js';
import { RpcServer } from './rpcServer.js';
import { TlsCredentials } from './tlsCredentials.js';

/**
 * JSON-RPC 2.0 over TCP. Each instance dials every other one and sends its calls over that
 * connection; responses return on the same connection. Calls fail immediately while there is no
 * connection.
 */
export class TcpPeerNetwork implements PeerNetwork {
  readonly selfId: string;

  /** Tracks the liveness of the other instances. */
  readonly failureDetector: FailureDetector;

  private readonly opts: TcpPeerNetworkOptions;
  private readonly limits: ConnectionLimits;
  private readonly logger: PeerLogger;
  private readonly server: RpcServer;
  private readonly counters = new Map<string, PeerCounters>();
  private readonly diallers = new Map<string, PeerDialler>();
  private credentials: TlsCredentials | undefined;
  private listener: PeerListener | undefined;
  private isDisposed = false;

  constructor(opts: TcpPeerNetworkOptions) {
    this.opts = opts;
    this.selfId = opts.selfId;
    this.limits = resolveLimits(opts);
    this.logger = opts.logger ?? SILENT_LOGGER;
    this.server = new RpcServer(this.logger);
    this.failureDetector = new FailureDetector(this.limits.silenceMs);
    for (const { id } of opts.peers) {
      if (id !== this.selfId) this.counters.set(id, createPeerCounters());
    }
  }

  /** Address that the listener is bound to; available after `start`. */
  get address(): { host: string; port: number } {
    if (!this.listener) throw new PeerError('the network has not been started');
    return this.listener.address;
  }

  /** Traffic counters by instance id. */
  get traffic(): ReadonlyMap<string, Readonly<PeerCounters>> {
    return this.counters;
  }

  handle(method: string, handler: PeerMethodHandler): void {
    this.server.handle(method, handler);
  }

  async call(
    instanceId: string,
    method: string,
    params: unknown,
    opts: PeerCallOptions,
  ): Promise<unknown> {
    if (this.isDisposed) throw new PeerUnavailableError(instanceId, 'the network is closed');
    if (instanceId === this.selfId) return this.callSelf(method, params, opts.timeoutMs);
    const dialler = this.findOrStartDialler(instanceId);
    if (!dialler) throw new PeerUnavailableError(instanceId, this.explainNoDialler(instanceId));
    return dialler.call(method, params, opts);
  }

  notify(instanceId: string, method: string, params: unknown): void {
    if (this.isDisposed) return;
    if (instanceId === this.selfId) {
      this.notifySelf(method, params);
      return;
    }
    const dialler = this.findOrStartDialler(instanceId);
    const counters = this.counters.get(instanceId);
    if (dialler) dialler.notify(method, params);
    else if (counters) counters.dropped += 1;
  }

  /** Starts dialling an instance ahead of the first call to it. */
  connect(instanceId: string): void {
    this.findOrStartDialler(instanceId);
  }

  isAlive(instanceId: string): boolean {
    if (instanceId === this.selfId) return true;
    return this.failureDetector.livenessOf(instanceId) === 'alive';
  }

  async start(): Promise<void> {
    if (this.listener) throw new PeerError('the network has already been started');
    const { listen, tls } = this.opts;
    if (tls) {
      this.credentials = new TlsCredentials(tls, this.logger);
      await this.credentials.start(() => this.listener?.reloadCredentials());
    }
    this.listener = new PeerListener({
      selfId: this.selfId,
      listen,
      limits: this.limits,
      maxConnections: this.opts.maxInboundConnections,
      credentials: this.credentials,
      logger: this.logger,
      findCounters: (instanceId) =>
        this.counters.get(instanceId) ?? this.resolveNewPeer(instanceId),
      onHello: (from) => this.handleHello(from),
      onFrame: (from) => this.recordFrame(from),
      onRequest: (message, from, respond) => this.handleRequest(message, from, respond),
    });
    await this.listener.start();
    this.startDiallers();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.isDisposed) return;
    this.isDisposed = true;
    this.credentials?.[Symbol.dispose]();
    this.failureDetector[Symbol.dispose]();
    const parts: AsyncDisposable[] = [...this.diallers.values()];
    if (this.listener) parts.push(this.listener);
    await Promise.all(parts.map((part) => part[Symbol.asyncDispose]()));
  }

  private startDiallers(): void {
    for (const peer of this.opts.peers) {
      if (peer.id !== this.selfId && peer.dial !== false) this.startDialler(peer);
    }
  }

  private startDialler(peer: PeerAddress): PeerDialler {
    const dialler = new PeerDialler({
      selfId: this.selfId,
      peer,
      limits: this.limits,
      credentials: this.credentials,
      counters: this.counters.get(peer.id)!,
      logger: this.logger,
      onFrame: () => this.recordFrame(peer.id),
    });
    this.diallers.set(peer.id, dialler);
    dialler.start();
    return dialler;
  }

  private findOrStartDialler(instanceId: string): PeerDialler | undefined {
    const known = this.diallers.get(instanceId);
    if (known || this.counters.has(instanceId) || !this.listener) return known;
    this.resolveNewPeer(instanceId);
    return this.diallers.get(instanceId);
  }

  /** Registers and dials an instance that is not yet known, if its address can be resolved. */
  private resolveNewPeer(instanceId: string): PeerCounters | undefined {
    const peer = this.opts.resolvePeer?.(instanceId);
    if (!peer || instanceId === this.selfId) return undefined;
    const counters = createPeerCounters();
    this.counters.set(instanceId, counters);
    if (peer.dial !== false) this.startDialler(peer);
    return counters;
  }

  private recordFrame(instanceId: string): void {
    if (!this.isDisposed) this.failureDetector.recordFrame(instanceId);
  }

  /**
   * A peer that has just connected is most likely reachable, so it is dialled without a backoff.
   */
  private handleHello(from: string): void {
    this.recordFrame(from);
    this.diallers.get(from)?.retryNow();
  }

  private explainNoDialler(instanceId: string): string {
    if (!this.counters.has(instanceId)) return 'unknown instance';
    return this.listener ? 'no connection to it is configured' : 'the network has not been started';
  }

  private handleRequest(message: FrameMessage, from: string, respond: ResponseSender): void {
    this.server
      .receive(message, from)
      .then((response) => {
        if (response) this.sendResponse(response, respond);
      })
      .catch((err) => {
        const details = { peer: from, error: toError(err).message };
        this.logger.warn('failed to process a message from an instance', details);
      });
  }

  private sendResponse(response: JSONRPCResponse, respond: ResponseSender): void {
    try {
      respond(response);
    } catch (err) {
      const text = toError(err).message;
      respond(createJSONRPCErrorResponse(response.id, RESPONSE_NOT_SENDABLE_CODE, text));
    }
  }

  private async callSelf(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    const endMs = performance.now() + timeoutMs;
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((resolve, reject) => {
      const fail = () => reject(new PeerTimeoutError(this.selfId, method, timeoutMs));
      timer = setTimeout(fail, timeoutMs);
    });
    const result = Promise.resolve().then(() =>
      this.server.callLocally(method, params, this.selfId, endMs),
    );
    try {
      return await Promise.race([result, timeout]);
    } finally {
      clearTimeout(timer);
    }
  }

  private notifySelf(method: string, params: unknown): void {
    Promise.resolve()
      .then(() => this.server.callLocally(method, params, this.selfId))
      .catch((err) => {
        this.logger.debug('notification to this instance failed', { error: toError(err).message });
      });
  }
}
