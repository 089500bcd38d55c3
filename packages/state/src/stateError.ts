import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Raised when the replicated state cannot apply a command or restore a snapshot. */
export class StateError extends LagoongapError {
  constructor(message: string, opts?: LagoongapErrorOptions) {
    super('StateError', message, opts);
  }
}
