import { PeerConnectionLostError } from '@lagoongap/peering/peerConnectionLostError.js';
import type {
  PeerCallOptions,
  PeerMethodHandler,
  PeerNetwork,
} from '@lagoongap/peering/peerNetwork.js';
import { PeerRemoteError } from '@lagoongap/peering/peerRemoteError.js';
import { PeerTimeoutError } from '@lagoongap/peering/peerTimeoutError.js';
import { PeerUnavailableError } from '@lagoongap/peering/peerUnavailableError.js';
import { toRpcError } from '@lagoongap/peering/rpcErrors.js';

import type { FakeTransport } from './fakeTransport.js';

/** A call or notification on its way. */
export interface FakeMessage {
  method: string;
  body: string;
  /** Time for which the caller waits, which the receiver counts from the receipt. */
  timeoutMs: number;
}

/** Peer network of one instance that sends its messages over a {@link FakeTransport}. */
export class FakeNetwork implements PeerNetwork {
  readonly selfId: string;
  private readonly transport: FakeTransport;
  private readonly handlers = new Map<string, PeerMethodHandler>();
  private readonly pending = new Set<(err: Error) => void>();
  private isClosed = false;

  constructor(selfId: string, transport: FakeTransport) {
    this.selfId = selfId;
    this.transport = transport;
  }

  handle(method: string, handler: PeerMethodHandler): void {
    this.handlers.set(method, handler);
  }

  call(to: string, method: string, params: unknown, opts: PeerCallOptions): Promise<unknown> {
    if (this.isClosed) return Promise.reject(new PeerUnavailableError(to, 'closed'));
    const body = JSON.stringify(params);
    return new Promise((resolve, reject) => {
      let isSettled = false;
      const settle = (action: () => void): void => {
        if (isSettled) return;
        isSettled = true;
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        clearTimeout(timer);
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        this.pending.delete(fail);
        action();
      };
      const fail = (err: Error): void => settle(() => reject(err));
      const timer = setTimeout(
        () => fail(new PeerTimeoutError(to, method, opts.timeoutMs)),
        opts.timeoutMs,
      );
      this.pending.add(fail);
      // A connection that carries no pings is closed after the ping timeout, which fails its calls.
      this.transport.watchConnection(this.selfId, to, () =>
        fail(new PeerConnectionLostError(to, method)),
      );
      this.transport.send(this.selfId, to, method, () => {
        const message = { method, body, timeoutMs: opts.timeoutMs };
        this.transport.deliverCall(this.selfId, to, message, (response) => {
          this.transport.send(to, this.selfId, `${method} answer`, () => {
            if ('error' in response) fail(new PeerRemoteError(to, method, response.error));
            else settle(() => resolve(response.result));
          });
        });
      });
    });
  }

  notify(to: string, method: string, params: unknown): void {
    if (this.isClosed) return;
    const body = JSON.stringify(params);
    if (method === 'raft.message') this.transport.reportReplicationSteps(this.selfId, to, params);
    this.transport.send(this.selfId, to, method, () => {
      const message = { method, body, timeoutMs: Infinity };
      this.transport.deliverCall(this.selfId, to, message, () => {});
    });
  }

  isAlive(instanceId: string): boolean {
    return this.transport.isConnected(this.selfId, instanceId);
  }

  async start(): Promise<void> {
    this.transport.attach(this);
  }

  /** Handles a call or notification that arrived from another instance. */
  receive(
    from: string,
    { method, body, timeoutMs }: FakeMessage,
    reply: (response: { result: unknown } | { error: ReturnType<typeof toRpcError> }) => void,
  ): void {
    const handler = this.handlers.get(method);
    if (this.isClosed || !handler) return;
    Promise.resolve()
      .then(() => handler(JSON.parse(body), from, performance.now() + timeoutMs))
      .then(
        (result) =>
          reply({ result: result === undefined ? null : JSON.parse(JSON.stringify(result)) }),
        (err: unknown) => reply({ error: toRpcError(err) }),
      );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isClosed = true;
    this.transport.detach(this);
    for (const fail of [...this.pending]) fail(new PeerUnavailableError(this.selfId, 'closed'));
  }
}
