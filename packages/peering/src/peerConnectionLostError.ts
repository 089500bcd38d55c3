import { PeerError } from './peerError.js';

/**
 * Thrown when the connection is lost before the response arrives; the call may have been executed.
 */
export class PeerConnectionLostError extends PeerError {
  constructor(instanceId: string, method: string, cause?: Error) {
    super(
      `connection to instance ${instanceId} lost while waiting for the response to ${method}`,
      { cause, info: { instanceId, method } },
      'PeerConnectionLostError',
    );
  }
}
