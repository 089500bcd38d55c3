import { PeerError } from './peerError.js';

/** Raised where a call has certainly not been sent. */
export class PeerUnavailableError extends PeerError {
  constructor(instanceId: string, reason: string, cause?: Error) {
    super(
      `instance ${instanceId} is unavailable: ${reason}`,
      { cause, info: { instanceId } },
      'PeerUnavailableError',
    );
  }
}
