import { LagoongapError } from '@lagoongap/model/lagoongapError.js';
import type { LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Raised when a decision would break a rule of the placement ledger. */
export class SchedulingError extends LagoongapError {
  constructor(message: string, opts: LagoongapErrorOptions = {}) {
    super('SchedulingError', message, opts);
  }
}
