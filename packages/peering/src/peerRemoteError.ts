import { PeerError } from './peerError.js';

/** Raised where the handler of the called instance raises an error. */
export class PeerRemoteError extends PeerError {
  /** JSON-RPC error code. */
  readonly code: number;

  /** Plain data that the handler's error carried. */
  readonly data: unknown;

  constructor(
    instanceId: string,
    method: string,
    error: { code: number; message: string; data?: unknown },
    cause?: Error,
  ) {
    super(
      `${method} failed on instance ${instanceId}: ${error.message}`,
      { cause, info: { instanceId, method, code: error.code } },
      'PeerRemoteError',
    );
    this.code = error.code;
    this.data = error.data;
  }
}
