import { PeerError } from './peerError.js';

/** Raised where the connection is lost before the answer; the call may have run. */
export class PeerConnectionLostError extends PeerError {
  constructor(instanceId: string, method: string, cause?: Error) {
    super(
      `connection to instance ${instanceId} lost while waiting for the answer to ${method}`,
      { cause, info: { instanceId, method } },
      'PeerConnectionLostError',
    );
  }
}
