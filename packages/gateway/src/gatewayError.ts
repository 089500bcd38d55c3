import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Raised by the HTTP layer. */
export class GatewayError extends LagoongapError {
  constructor(message: string, opts?: LagoongapErrorOptions) {
    super('GatewayError', message, opts);
  }
}
