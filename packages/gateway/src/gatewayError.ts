import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Raised when the HTTP server cannot be started. */
export class GatewayError extends LagoongapError {
  constructor(message: string, opts?: LagoongapErrorOptions) {
    super('GatewayError', message, opts);
  }
}
