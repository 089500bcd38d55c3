import { LagoongapError } from '@lagoongap/model/lagoongapError.js';

/** Raised by the stand-in endpoint. */
export class StandInError extends LagoongapError {
  constructor(message: string, cause?: Error) {
    super('StandInError', message, { cause });
  }
}
