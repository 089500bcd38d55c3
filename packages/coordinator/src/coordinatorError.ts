import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Error of the leader pipeline. */
export class CoordinatorError extends LagoongapError {
  constructor(message: string, opts?: LagoongapErrorOptions) {
    super('CoordinatorError', message, opts);
  }
}
