import { LagoongapError } from './lagoongapError.js';
import type { Refusal } from './refusal.js';

/** Raised where work or a change is refused; carries what the caller is told. */
export class RefusalError extends LagoongapError {
  readonly refusal: Refusal;

  constructor(refusal: Refusal, cause?: Error) {
    super('RefusalError', refusal.message, { cause, info: { type: refusal.type } });
    this.refusal = refusal;
  }
}
