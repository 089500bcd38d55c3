import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Thrown by the workflow layer for invalid commands, orders and records. */
export class WorkflowError extends LagoongapError {
  constructor(message: string, opts?: LagoongapErrorOptions) {
    super('WorkflowError', message, opts);
  }
}
