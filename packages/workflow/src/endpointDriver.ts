import type { RunOutcome } from './workflowRecords.js';

/** Destination of an order. */
export interface EndpointTarget {
  id: string;
  /** `host:port`. */
  address: string;
  /** Start time of the incarnation that is meant, Unix milliseconds; 0 if not reported. */
  bornMs: number;
}

/** Order to start a task. */
export interface StartOrder {
  task: string;
  run: number;
  payload: string;
  /** End of the lease on the endpoint's clock in milliseconds. */
  untilMs: number;
  fencingToken: number;
  checkpoint?: string;
  /** Ticket from the advisor that permits the endpoint to run the step. */
  ticket?: string;
}

/** Outcome of a start order, as reported by the endpoint. */
export type StartOutcome =
  | 'started'
  /** The endpoint has received orders from a newer leader. */
  | 'fenced'
  /** A run with this or a higher number was stopped or ended on the endpoint. */
  | 'superseded'
  /** The lease in the order had already expired. */
  | 'late'
  | 'no-room'
  | 'no-ticket'
  /** Another incarnation of the endpoint responded. */
  | 'wrong-instance'
  /** The endpoint is unhealthy and ignored the order. */
  | 'unhealthy'
  /** The order was malformed. */
  | 'invalid'
  /** Nothing was sent, so the order cannot take effect. */
  | 'not-sent';

/** Response to a start order. */
export interface StartResponse {
  outcome: StartOutcome;
  /** Time on the endpoint's clock, if the response contains it. */
  clockMs?: number;
}

/** Order that refers to one run. */
export interface RunOrder {
  task: string;
  run: number;
  fencingToken: number;
}

/** Requests the active and ended runs, and renews the lease. */
export interface InspectOrder {
  fencingToken: number;
  /** Reports up to this number are acknowledged and need not be repeated. */
  ackedReport: number;
  /** New end of the lease on the endpoint's clock; absent to leave it unchanged. */
  untilMs?: number;
  /** Time for which the endpoint may delay the response until a run ends, in milliseconds. */
  waitMs: number;
}

/** A run that is active on the endpoint. */
export interface ActiveRun {
  task: string;
  run: number;
  checkpoint: string;
  /** Share of its full work that the run does, 0 to 100: 0 while it starts, its pace later. */
  percent: number;
  /** Tail response time in milliseconds of a latency-sensitive task, else used processor time. */
  load: number;
}

/** Report of the end of a run. */
export interface EndReport {
  /** Increases by one with each end within an incarnation of the endpoint. */
  number: number;
  task: string;
  run: number;
  outcome: RunOutcome;
  checkpoint: string;
}

/** Response to an inspection. */
export interface Inspection {
  clockMs: number;
  /** Start time of the endpoint's process, Unix milliseconds; 0 if not reported. */
  bornMs: number;
  active: ActiveRun[];
  ended: EndReport[];
  /** Some rows could not be read, so that a run that is missing may still be active. */
  hasInvalidRows?: boolean;
}

/** Reason why an order failed. */
export type OrderFailure =
  | 'fenced'
  | 'wrong-instance'
  | 'unhealthy'
  /** Nothing listens at the address, so the endpoint's process does not run. */
  | 'refused'
  /** No response, or none that can be read; the endpoint may be running. */
  | 'unreachable';

/** Result of an order: the response, or the reason why there is none. */
export type OrderResult<Response> = { answer: Response } | { failure: OrderFailure };

/**
 * Sends orders to endpoints; implemented per endpoint protocol. Times on the endpoint's clock and
 * numbers of reports mean something else to the next incarnation under the same id; orders that
 * contain them are sent only where the incarnation that is meant has responded.
 */
export interface EndpointDriver extends AsyncDisposable {
  /** Resolves with undefined if there was no response; the order may still take effect later. */
  start(target: EndpointTarget, order: StartOrder): Promise<StartResponse | undefined>;
  /** Resolves with true once the run is ending and can no longer start on the endpoint. */
  stop(target: EndpointTarget, order: RunOrder): Promise<boolean>;
  inspect(target: EndpointTarget, order: InspectOrder): Promise<OrderResult<Inspection>>;
  /** Sets the pace of a run; resolves with whether it was accepted. */
  pace(target: EndpointTarget, order: RunOrder & { percent: number }): Promise<boolean>;
  /** Closes the connections to an endpoint that was removed. */
  disconnect(target: EndpointTarget): void;
}
