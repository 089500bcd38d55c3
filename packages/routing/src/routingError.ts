import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Base class of errors raised by the routing layer. */
export class RoutingError extends LagoongapError {
  constructor(name: string, message: string, opts: LagoongapErrorOptions = {}) {
    super(name, message, opts);
  }
}
