import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Raised by the workflow layer for commands, orders and records that it cannot use. */
export class WorkflowError extends LagoongapError {
  constructor(message: string, opts?: LagoongapErrorOptions) {
    super('WorkflowError', message, opts);
  }
}
