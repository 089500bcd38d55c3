import type { RunOutcome } from './workflowRecords.js';

/** Where an order goes. */
export interface EndpointTarget {
  id: string;
  /** `host:port`. */
  address: string;
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
  /** Proof from the advisor that the endpoint may run the step. */
  ticket?: string;
}

/** What became of a start order that was answered. */
export type StartOutcome =
  | 'started'
  /** A newer leader has been seen. */
  | 'fenced'
  /** The run is not newer than one that was stopped or ended there. */
  | 'superseded'
  /** The lease in the order had ended. */
  | 'late'
  | 'no-room'
  | 'no-ticket'
  /** Another life of the endpoint answered. */
  | 'wrong-instance'
  /** The endpoint is unhealthy and has done nothing. */
  | 'unhealthy'
  /** The order was not understood. */
  | 'invalid';

/** Answer to a start order. */
export interface StartAnswer {
  outcome: StartOutcome;
  /** Time on the endpoint's clock, if the answer carried one. */
  clockMs?: number;
}

/** Order that names one run. */
export interface RunOrder {
  task: string;
  run: number;
  fencingToken: number;
}

/** Asks what runs and has ended, and renews the lease. */
export interface InspectOrder {
  fencingToken: number;
  /** Reports up to this number need not be repeated. */
  ackedReport: number;
  /** New end of the lease on the endpoint's clock; absent to leave it. */
  untilMs?: number;
  /** Time for which the endpoint may wait for an end in milliseconds. */
  waitMs: number;
}

/** A run that the endpoint has. */
export interface ActiveRun {
  task: string;
  run: number;
  checkpoint: string;
  /** Share of its pace at which it works, 0 to 100. */
  percent: number;
  /** Tail response time in milliseconds of a serving task, used processor time of any other. */
  load: number;
}

/** Report of the end of a run. */
export interface EndReport {
  /** Increases by one with each end in a life of the endpoint. */
  number: number;
  task: string;
  run: number;
  outcome: RunOutcome;
  checkpoint: string;
}

/** Answer to an inspection. */
export interface Inspection {
  clockMs: number;
  /** Start of the endpoint's process, Unix milliseconds; 0 if it did not say. */
  bornMs: number;
  active: ActiveRun[];
  ended: EndReport[];
}

/** Why an order was not carried out. */
export type OrderFailure = 'fenced' | 'wrong-instance' | 'unhealthy' | 'unreachable';

/** Result of an order: its answer, or the reason why there is none. */
export type OrderResult<Answer> = { answer: Answer } | { failure: OrderFailure };

/** Gives orders to endpoints; implemented for each protocol that endpoints speak. */
export interface EndpointDriver extends AsyncDisposable {
  /** Resolves with undefined if no answer came; the order may be carried out later. */
  start(target: EndpointTarget, order: StartOrder): Promise<StartAnswer | undefined>;
  /** Resolves with true once the run can no longer be or come there, apart from its ending. */
  stop(target: EndpointTarget, order: RunOrder): Promise<boolean>;
  inspect(target: EndpointTarget, order: InspectOrder): Promise<OrderResult<Inspection>>;
  /** Sets the pace of a run; resolves with whether it was accepted. */
  pace(target: EndpointTarget, order: RunOrder & { percent: number }): Promise<boolean>;
  /** Closes the connections to an endpoint that has gone. */
  forget(target: EndpointTarget): void;
}
