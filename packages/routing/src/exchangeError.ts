import type { RunState } from '@lagoongap/model/refusal.js';

import { RoutingError } from './routingError.js';

/** Why an exchange failed. */
export type ExchangeFailure =
  | 'refused-connection'
  | 'no-connection-free'
  | 'prevented'
  | 'closed'
  | 'deadline-exceeded'
  | 'caller-gone'
  | 'endpoint-silent'
  | 'answer-cut'
  | 'answer-mismatch'
  | 'answer-invalid'
  | 'connection-lost';

/** Raised when an exchange with an endpoint has failed. */
export class ExchangeError extends RoutingError {
  /** Run state of the request; `not-run` only if certainly no byte of it was sent. */
  readonly runState: RunState;
  readonly failure: ExchangeFailure;

  constructor(failure: ExchangeFailure, runState: RunState, message: string, cause?: Error) {
    super('ExchangeError', message, { cause, info: { failure, runState } });
    this.failure = failure;
    this.runState = runState;
  }
}
