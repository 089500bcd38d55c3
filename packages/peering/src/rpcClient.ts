import { toError } from '@lagoongap/model/toError.js';
import {
  createJSONRPCErrorResponse,
  createJSONRPCRequest,
  JSONRPCClient,
  type JSONRPCID,
  type JSONRPCResponse,
} from 'json-rpc-2.0';

import type { FrameMessage } from './frameCodec.js';
import type { SendResult } from './framedConnection.js';
import { PeerConnectionLostError } from './peerConnectionLostError.js';
import { PeerRemoteError } from './peerRemoteError.js';
import { PeerTimeoutError } from './peerTimeoutError.js';
import { PeerUnavailableError } from './peerUnavailableError.js';

/**
 * Error code of responses that this side generates for failed calls. They are recognised by object
 * identity, because a remote handler may use the same code.
 */
const LOCAL_FAILURE_CODE = 0;

/** Maximum number of timed-out calls whose late responses are recognised. */
const MAX_TIMED_OUT = 1000;

/** Called for a response that came `lateMs` after the timeout of its call. */
export type LateResponseListener = (method: string, lateMs: number) => void;

/**
 * JSON-RPC client over one connection. Responses to calls that are no longer pending are reported
 * as late and otherwise ignored.
 */
export class RpcClient {
  private readonly instanceId: string;
  private readonly client: JSONRPCClient;
  private readonly pendingMethods = new Map<JSONRPCID, string>();
  private readonly localFailures = new WeakMap<object, Error>();
  private readonly sendFailures = new Map<JSONRPCID, Error>();
  private readonly onLateResponse: LateResponseListener | undefined;
  /** Calls that have timed out, with the monotonic time of the timeout, oldest first. */
  private readonly timedOut = new Map<JSONRPCID, { method: string; atMs: number }>();
  private lastId = 0;

  /** @param send - Queues a message on the connection; may throw FrameError. */
  constructor(
    instanceId: string,
    send: (message: unknown) => SendResult,
    onLateResponse?: LateResponseListener,
  ) {
    this.instanceId = instanceId;
    this.onLateResponse = onLateResponse;
    this.client = new JSONRPCClient((message) => this.sendMessage(message, send));
  }

  /** Calls a method; rejects with a subclass of PeerError. */
  async call(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    this.lastId += 1;
    const id = this.lastId;
    this.pendingMethods.set(id, method);
    const failOnTimeout = () => {
      this.recordTimeout(id, method);
      return this.createFailure(id, new PeerTimeoutError(this.instanceId, method, timeoutMs));
    };
    try {
      const request = { ...createJSONRPCRequest(id, method, params), timeoutMs };
      const requester = this.client.timeout(timeoutMs, failOnTimeout);
      return this.unwrapResponse(id, method, await requester.requestAdvanced(request));
    } finally {
      this.pendingMethods.delete(id);
      this.sendFailures.delete(id);
    }
  }

  /** Sends a notification, which is dropped if it cannot be queued. */
  notify(method: string, params: unknown): void {
    this.client.notify(method, params);
  }

  /** Processes a received response. */
  receive(message: FrameMessage): void {
    const response = message as unknown as JSONRPCResponse;
    const late = response.id === null ? undefined : this.timedOut.get(response.id);
    if (late) {
      this.timedOut.delete(response.id);
      this.onLateResponse?.(late.method, performance.now() - late.atMs);
    }
    this.client.receive(response);
  }

  private recordTimeout(id: JSONRPCID, method: string): void {
    this.timedOut.set(id, { method, atMs: performance.now() });
    if (this.timedOut.size <= MAX_TIMED_OUT) return;
    const [oldest] = this.timedOut.keys();
    this.timedOut.delete(oldest!);
  }

  /** Rejects all pending calls with PeerConnectionLostError. */
  close(cause: Error): void {
    for (const [id, method] of [...this.pendingMethods]) {
      const lost = new PeerConnectionLostError(this.instanceId, method, cause);
      this.client.receive(this.createFailure(id, lost));
    }
  }

  private sendMessage(message: { id?: JSONRPCID }, send: (message: unknown) => SendResult): void {
    try {
      const result = send(message);
      if (result === 'queued') return;
      const reason = result === 'closed' ? 'the connection is closed' : 'the send buffer is full';
      throw new PeerUnavailableError(this.instanceId, reason);
    } catch (err) {
      const error = toError(err);
      const failure =
        error instanceof PeerUnavailableError
          ? error
          : new PeerUnavailableError(this.instanceId, 'the message cannot be encoded', error);
      if (message.id !== undefined) this.sendFailures.set(message.id, failure);
      throw failure;
    }
  }

  private createFailure(id: JSONRPCID, error: Error) {
    const response = createJSONRPCErrorResponse(id, LOCAL_FAILURE_CODE, error.message);
    this.localFailures.set(response, error);
    return response;
  }

  private unwrapResponse(id: JSONRPCID, method: string, response: JSONRPCResponse): unknown {
    const failure = this.sendFailures.get(id) ?? this.localFailures.get(response);
    if (failure) throw failure;
    if (response.error) throw new PeerRemoteError(this.instanceId, method, response.error);
    return response.result ?? null;
  }
}
