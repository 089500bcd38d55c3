import { PeerError } from './peerError.js';

/** Raised where no answer has come before the deadline; the call may have run. */
export class PeerTimeoutError extends PeerError {
  constructor(instanceId: string, method: string, timeoutMs: number) {
    super(
      `no answer to ${method} from instance ${instanceId} within ${timeoutMs} ms`,
      { info: { instanceId, method, timeoutMs } },
      'PeerTimeoutError',
    );
  }
}
