import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Base class of all errors of the peering layer. */
export class PeerError extends LagoongapError {
  constructor(message: string, opts: LagoongapErrorOptions = {}, name = 'PeerError') {
    super(name, message, opts);
  }
}
