import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Raised where a release note or a key cannot be processed. */
export class ReleaseNoteError extends LagoongapError {
  constructor(message: string, opts?: LagoongapErrorOptions) {
    super('ReleaseNoteError', message, opts);
  }
}
