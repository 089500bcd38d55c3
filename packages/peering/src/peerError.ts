import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Base class of the errors of the peering layer. */
export class PeerError extends LagoongapError {
  constructor(message: string, opts: LagoongapErrorOptions = {}, name = 'PeerError') {
    super(name, message, opts);
  }
}
