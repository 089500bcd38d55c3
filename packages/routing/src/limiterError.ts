import { RoutingError } from './routingError.js';

/** Why a {@link ConcurrencyLimiter} refused a request. */
export type LimiterFailure = 'full' | 'deadline-exceeded' | 'cancelled' | 'closed';

/** Raised when a request is not admitted; no part of it has been executed. */
export class LimiterError extends RoutingError {
  readonly failure: LimiterFailure;

  constructor(failure: LimiterFailure, message: string) {
    super('LimiterError', message, { info: { failure } });
    this.failure = failure;
  }
}
