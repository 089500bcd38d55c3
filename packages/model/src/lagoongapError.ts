import VError from 'verror';

/** Options of a {@link LagoongapError}. */
export interface LagoongapErrorOptions {
  /** Underlying error. */
  cause?: Error;
  /** Machine-readable details; must not contain secrets. */
  info?: Record<string, unknown>;
}

/** Base class of all errors thrown by lagoongap; each layer derives its own classes. */
export class LagoongapError extends VError {
  constructor(name: string, message: string, opts: LagoongapErrorOptions = {}) {
    super({ name, cause: opts.cause, info: opts.info }, '%s', message);
  }
}
