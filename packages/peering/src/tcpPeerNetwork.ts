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
import { PeerListener, type AnswerSender } from './peerListener.js';
import { SILENT_LOGGER, type PeerLogger } from './peerLogger.js';
import type { PeerCallOptions, PeerMethodHandler, PeerNetwork } from './peerNetwork.js';
import { PeerTimeoutError } from './peerTimeoutError.js';
import { PeerUnavailableError } from './peerUnavailableError.js';
import { ANSWER_NOT_SENDABLE_CODE } from './rpcErrors.js';
import { RpcServer } from './rpcServer.js';
import { TlsCredentials } from './tlsCredentials.js';

/**
 * JSON-RPC 2.0 over TCP. Each instance dials every other one and calls it over that connection;
 * answers come back on it. Calls fail at once while there is no connection.
 */
export class TcpPeerNetwork implements PeerNetwork {
  readonly selfId: string;

  /** Liveness of the other instances. */
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

  /** Address that the port is bound to; available after `start`. */
  get address(): { host: string; port: number } {
    if (!this.listener) throw new PeerError('the network has not been started');
    return this.listener.address;
  }

  /** Traffic by instance id. */
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
    const dialler = this.findDialler(instanceId);
    if (!dialler) throw new PeerUnavailableError(instanceId, this.explainNoDialler(instanceId));
    return dialler.call(method, params, opts.timeoutMs);
  }

  notify(instanceId: string, method: string, params: unknown): void {
    if (this.isDisposed) return;
    if (instanceId === this.selfId) {
      this.notifySelf(method, params);
      return;
    }
    const dialler = this.findDialler(instanceId);
    const counters = this.counters.get(instanceId);
    if (dialler) dialler.notify(method, params);
    else if (counters) counters.dropped += 1;
  }

  /** Begins to dial an instance now, so that there is a connection when it is first called. */
  connect(instanceId: string): void {
    this.findDialler(instanceId);
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
      credentials: this.credentials,
      logger: this.logger,
      countersOf: (instanceId) => this.counters.get(instanceId) ?? this.meet(instanceId),
      onHello: (from) => this.acceptPeer(from),
      onFrame: (from) => this.recordFrame(from),
      onRequest: (message, from, answer) => this.serve(message, from, answer),
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

  private findDialler(instanceId: string): PeerDialler | undefined {
    const known = this.diallers.get(instanceId);
    if (known || this.counters.has(instanceId) || !this.listener) return known;
    this.meet(instanceId);
    return this.diallers.get(instanceId);
  }

  /** Takes up an instance that is not among the known ones, if it can be resolved. */
  private meet(instanceId: string): PeerCounters | undefined {
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

  /** A peer that has just connected can most likely be reached, so a backoff is cut short. */
  private acceptPeer(from: string): void {
    this.recordFrame(from);
    this.diallers.get(from)?.hurry();
  }

  private explainNoDialler(instanceId: string): string {
    if (!this.counters.has(instanceId)) return 'unknown instance';
    return this.listener ? 'it is not dialled' : 'the network has not been started';
  }

  private serve(message: FrameMessage, from: string, answer: AnswerSender): void {
    this.server
      .receive(message, from)
      .then((response) => {
        if (response) this.sendAnswer(response, answer);
      })
      .catch((err) => {
        const details = { peer: from, error: toError(err).message };
        this.logger.warn('message of an instance was dropped', details);
      });
  }

  private sendAnswer(response: JSONRPCResponse, answer: AnswerSender): void {
    try {
      answer(response);
    } catch (err) {
      const text = toError(err).message;
      answer(createJSONRPCErrorResponse(response.id, ANSWER_NOT_SENDABLE_CODE, text));
    }
  }

  private async callSelf(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((resolve, reject) => {
      const fail = () => reject(new PeerTimeoutError(this.selfId, method, timeoutMs));
      timer = setTimeout(fail, timeoutMs);
    });
    const answer = Promise.resolve().then(() =>
      this.server.callLocally(method, params, this.selfId),
    );
    try {
      return await Promise.race([answer, timeout]);
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
