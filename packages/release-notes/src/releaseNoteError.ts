import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Thrown if a TOML document cannot be parsed. */
export class ReleaseNoteError extends LagoongapError {
  constructor(message: string, opts?: LagoongapErrorOptions) {
    super('ReleaseNoteError', message, opts);
  }
}
