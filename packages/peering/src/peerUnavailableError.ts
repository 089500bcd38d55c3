import { PeerError } from './peerError.js';

/** Thrown when a call could not be sent; the call is guaranteed not to have been executed. */
export class PeerUnavailableError extends PeerError {
  constructor(instanceId: string, reason: string, cause?: Error) {
    super(
      `instance ${instanceId} is unavailable: ${reason}`,
      { cause, info: { instanceId } },
      'PeerUnavailableError',
    );
  }
}
