import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Raised when a daemon cannot start or has to stop. */
export class DaemonError extends LagoongapError {
  constructor(message: string, opts?: LagoongapErrorOptions) {
    super('DaemonError', message, opts);
  }
}
