import { toError } from '@lagoongap/model/toError.js';
import {
  createJSONRPCErrorResponse,
  isJSONRPCRequest,
  JSONRPCServer,
  type JSONRPCResponse,
} from 'json-rpc-2.0';

import type { FrameMessage } from './frameCodec.js';
import { PeerError } from './peerError.js';
import type { PeerLogger } from './peerLogger.js';
import type { PeerMethodHandler } from './peerNetwork.js';
import { PeerRemoteError } from './peerRemoteError.js';
import { METHOD_NOT_FOUND_CODE, toRpcError } from './rpcErrors.js';

interface CallerInfo {
  /** Id of the calling instance. */
  from: string;
  /** Monotonic time after which the caller no longer waits. */
  endMs: number;
}

/**
 * Returns the time until which the caller waits, counted from the receipt, as instances share no
 * clock; earlier releases do not send the timeout.
 */
function readEndMs({ timeoutMs }: FrameMessage): number {
  return typeof timeoutMs === 'number' ? performance.now() + timeoutMs : Infinity;
}

/** Dispatches JSON-RPC requests of other instances to the handlers of this one. */
export class RpcServer {
  private readonly server: JSONRPCServer<CallerInfo>;
  private readonly handlers = new Map<string, PeerMethodHandler>();

  constructor(logger: PeerLogger) {
    this.server = new JSONRPCServer<CallerInfo>({
      errorListener: (message, err) => logger.debug(message, { error: toError(err).message }),
    });
    this.server.mapErrorToJSONRPCErrorResponse = (id, err) => {
      const { code, message, data } = toRpcError(err);
      return createJSONRPCErrorResponse(id, code, message, data);
    };
  }

  handle(method: string, handler: PeerMethodHandler): void {
    if (this.handlers.has(method)) throw new PeerError(`method ${method} already has a handler`);
    this.handlers.set(method, handler);
    // JSON omits undefined, and a JSON-RPC response without a result is invalid; null is sent
    // instead.
    this.server.addMethod(
      method,
      async (params: unknown, { from, endMs }: CallerInfo) =>
        (await handler(params, from, endMs)) ?? null,
    );
  }

  /** Executes a request; returns its response, or null for a notification. */
  async receive(message: FrameMessage, from: string): Promise<JSONRPCResponse | null> {
    if (!isJSONRPCRequest(message)) throw new PeerError('message is not a JSON-RPC request');
    return this.server.receive(message, { from, endMs: readEndMs(message) });
  }

  /** Executes a call of this instance to itself, bypassing the network. */
  async callLocally(
    method: string,
    params: unknown,
    selfId: string,
    endMs = Infinity,
  ): Promise<unknown> {
    const handler = this.handlers.get(method);
    if (!handler) {
      const error = { code: METHOD_NOT_FOUND_CODE, message: 'Method not found' };
      throw new PeerRemoteError(selfId, method, error);
    }
    try {
      return (await handler(params, selfId, endMs)) ?? null;
    } catch (err) {
      throw new PeerRemoteError(selfId, method, toRpcError(err), toError(err));
    }
  }
}
