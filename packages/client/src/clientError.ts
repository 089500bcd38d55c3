import { LagoongapError } from '@lagoongap/model/lagoongapError.js';
import type { Refusal } from '@lagoongap/model/refusal.js';

import type { ExitReason } from './exitCodes.js';

/** Options of a {@link ClientError}. */
export interface ClientErrorOptions {
  cause?: Error;
  /** Refusal that the gateway sent. */
  refusal?: Refusal;
}

/** Raised where a command ends without success; carries the reason for its exit code. */
export class ClientError extends LagoongapError {
  readonly reason: ExitReason;
  readonly refusal?: Refusal;

  constructor(reason: ExitReason, message: string, opts: ClientErrorOptions = {}) {
    super('ClientError', message, { cause: opts.cause, info: { reason } });
    this.reason = reason;
    this.refusal = opts.refusal;
  }
}
