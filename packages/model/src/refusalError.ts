import { LagoongapError } from './lagoongapError.js';
import type { Refusal } from './refusal.js';

/** Thrown when work or a change is refused; carries the refusal that is returned to the caller. */
export class RefusalError extends LagoongapError {
  readonly refusal: Refusal;

  constructor(refusal: Refusal, cause?: Error) {
    super('RefusalError', refusal.message, { cause, info: { type: refusal.type } });
    this.refusal = refusal;
  }
}
