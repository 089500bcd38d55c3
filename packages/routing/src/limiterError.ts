import { RoutingError } from './routingError.js';

/** Why a {@link ConcurrencyLimiter} let something not in. */
export type LimiterFailure = 'full' | 'deadline-exceeded' | 'cancelled' | 'closed';

/** Raised when something is not let in; nothing of it has happened. */
export class LimiterError extends RoutingError {
  readonly failure: LimiterFailure;

  constructor(failure: LimiterFailure, message: string) {
    super('LimiterError', message, { info: { failure } });
    this.failure = failure;
  }
}
