import { LagoongapError } from '@lagoongap/model/lagoongapError.js';
import type { Refusal } from '@lagoongap/model/refusal.js';

import type { ExitReason } from './exitCodes.js';

/** Options of a {@link ClientError}. */
export interface ClientErrorOptions {
  cause?: Error;
  /** Refusal in the gateway's response. */
  refusal?: Refusal;
}

/** Thrown if a command does not succeed; `reason` determines the exit code. */
export class ClientError extends LagoongapError {
  readonly reason: ExitReason;
  readonly refusal?: Refusal;

  constructor(reason: ExitReason, message: string, opts: ClientErrorOptions = {}) {
    super('ClientError', message, { cause: opts.cause, info: { reason } });
    this.reason = reason;
    this.refusal = opts.refusal;
  }
}
