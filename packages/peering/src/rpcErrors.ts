import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { Refusal } from '@lagoongap/model/refusal.js';
import { toError } from '@lagoongap/model/toError.js';

import { PeerRemoteError } from './peerRemoteError.js';

/** JSON-RPC error code for handler errors without an integer code. */
export const HANDLER_FAILED_CODE = -32000;

/** JSON-RPC error code of a RefusalError; the error data is `{ refusal }`. */
export const REFUSAL_CODE = -32010;

/** JSON-RPC error code for a response that is too large or cannot be encoded as JSON. */
export const RESPONSE_NOT_SENDABLE_CODE = -32011;

/** JSON-RPC error code for a method without a registered handler. */
export const METHOD_NOT_FOUND_CODE = -32601;

/** Error object of a JSON-RPC response. */
export interface RpcErrorBody {
  code: number;
  message: string;
  data?: unknown;
}

/** Converts an error thrown by a handler to a JSON-RPC error object. */
export function toRpcError(thrown: unknown): RpcErrorBody {
  const err = toError(thrown) as Error & { code?: unknown; data?: unknown };
  if (err instanceof RefusalError) {
    return { code: REFUSAL_CODE, message: err.message, data: { refusal: err.refusal } };
  }
  const code = Number.isInteger(err.code) ? (err.code as number) : HANDLER_FAILED_CODE;
  return { code, message: err.message, data: err.data };
}

/** Restores the RefusalError thrown by a remote handler; returns undefined for any other error. */
export function toRefusalError(err: unknown): RefusalError | undefined {
  if (!(err instanceof PeerRemoteError) || err.code !== REFUSAL_CODE) return undefined;
  const { refusal } = (err.data ?? {}) as { refusal?: Refusal };
  return refusal ? new RefusalError(refusal, err) : undefined;
}
