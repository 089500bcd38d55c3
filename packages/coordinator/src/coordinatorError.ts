import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Raised by the leader pipeline. */
export class CoordinatorError extends LagoongapError {
  constructor(message: string, opts?: LagoongapErrorOptions) {
    super('CoordinatorError', message, opts);
  }
}
