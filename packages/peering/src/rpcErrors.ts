import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { Refusal } from '@lagoongap/model/refusal.js';
import { toError } from '@lagoongap/model/toError.js';

import { PeerRemoteError } from './peerRemoteError.js';

/** JSON-RPC code of an error that has no code of its own. */
export const HANDLER_FAILED_CODE = -32000;

/** JSON-RPC code of a RefusalError; its data is `{ refusal }`. */
export const REFUSAL_CODE = -32010;

/** JSON-RPC code where the answer is too large or not JSON. */
export const ANSWER_NOT_SENDABLE_CODE = -32011;

/** JSON-RPC code where no handler is registered. */
export const METHOD_NOT_FOUND_CODE = -32601;

/** Error object of a JSON-RPC answer. */
export interface RpcErrorBody {
  code: number;
  message: string;
  data?: unknown;
}

/** Returns what the caller is told about an error that a handler raised. */
export function toRpcError(raised: unknown): RpcErrorBody {
  const err = toError(raised) as Error & { code?: unknown; data?: unknown };
  if (err instanceof RefusalError) {
    return { code: REFUSAL_CODE, message: err.message, data: { refusal: err.refusal } };
  }
  const code = Number.isInteger(err.code) ? (err.code as number) : HANDLER_FAILED_CODE;
  return { code, message: err.message, data: err.data };
}

/** Returns the RefusalError that a remote handler raised, or undefined for any other error. */
export function toRefusalError(err: unknown): RefusalError | undefined {
  if (!(err instanceof PeerRemoteError) || err.code !== REFUSAL_CODE) return undefined;
  const { refusal } = (err.data ?? {}) as { refusal?: Refusal };
  return refusal ? new RefusalError(refusal, err) : undefined;
}
