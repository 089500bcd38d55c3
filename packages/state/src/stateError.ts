import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Raised when the replicated state meets a command or snapshot that it cannot use. */
export class StateError extends LagoongapError {
  constructor(message: string, opts?: LagoongapErrorOptions) {
    super('StateError', message, opts);
  }
}
