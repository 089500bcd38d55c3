import VError from 'verror';

/** Options of a {@link LagoongapError}. */
export interface LagoongapErrorOptions {
  /** Error of the layer below that led to this one. */
  cause?: Error;
  /** Machine-readable details, never secrets. */
  info?: Record<string, unknown>;
}

/** Base class of all errors raised by lagoongap; each layer derives its own. */
export class LagoongapError extends VError {
  constructor(name: string, message: string, opts: LagoongapErrorOptions = {}) {
    super({ name, cause: opts.cause, info: opts.info }, '%s', message);
  }
}
