import { PeerError } from './peerError.js';

/** Thrown when the called instance responds with an error, usually one thrown by the handler. */
export class PeerRemoteError extends PeerError {
  /** JSON-RPC error code. */
  readonly code: number;

  /** JSON data attached to the handler's error. */
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
