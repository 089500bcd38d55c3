import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Base class for errors of the replicated log. */
export class ConsensusError extends LagoongapError {
  constructor(message: string, opts: LagoongapErrorOptions = {}, name = 'ConsensusError') {
    super(name, message, opts);
  }
}
