import { PeerError } from './peerError.js';

/** Thrown when no response arrives within the timeout; the call may have been executed. */
export class PeerTimeoutError extends PeerError {
  constructor(instanceId: string, method: string, timeoutMs: number) {
    super(
      `no response to ${method} from instance ${instanceId} within ${timeoutMs} ms`,
      { info: { instanceId, method, timeoutMs } },
      'PeerTimeoutError',
    );
  }
}
