import type { Resources } from './resources.js';

/** Workers run the tasks of jobs; runners also serve requests. */
export type EndpointKind = 'worker' | 'runner';

/** State of an endpoint; only a `ready` endpoint is given new work. */
export type EndpointState = 'ready' | 'leaving' | 'silent';

/** Operation on a running task that an endpoint supports. */
export type EndpointCapability = 'checkpoint' | 'throttle' | 'stop';

/** Action that an endpoint is told to perform on a running attempt. */
export type AttemptAction = 'checkpoint' | 'throttle' | 'stop';

/** Properties that an endpoint reports when it registers. */
export interface EndpointAnnouncement {
  /** Stable identifier chosen by the endpoint. */
  id: string;
  kind: EndpointKind;
  /** Base URL at which the endpoint accepts tasks and requests. */
  url: string;
  size: Resources;
  rack: string;
  dataCentre: string;
  /** Kinds of work that the endpoint offers to run. */
  works: string[];
  /** Speed relative to the nominal speed of the fleet, which is 1. */
  speed: number;
  capabilities: EndpointCapability[];
}

/** Report on a running attempt in a heartbeat. */
export interface RunningReport {
  attempt: string;
  token: number;
  /** Measured resource usage; may be out of date. */
  usage?: Resources;
}

/** Report on a finished attempt in a heartbeat. */
export interface FinishedReport {
  attempt: string;
  outcome: 'succeeded' | 'failed' | 'checkpointed' | 'stopped';
  message?: string;
  /** Opaque reference to a checkpoint from which a later attempt can resume. */
  checkpoint?: string;
}

/** Heartbeat of an endpoint. */
export interface EndpointHeartbeat {
  /** Session id from the response to the announcement. */
  session: string;
  running: RunningReport[];
  finished: FinishedReport[];
}

/** Response to an announcement. */
export interface AnnounceResponse {
  session: string;
  leaseMs: number;
  heartbeatMs: number;
}

/** Response to a heartbeat. */
export interface HeartbeatResponse {
  leaseMs: number;
  /** Finished attempts that have been recorded and need not be reported again. */
  acknowledged: string[];
  actions: { attempt: string; action: AttemptAction }[];
}

/** Order to start a task, sent to an endpoint. */
export interface StartOrder {
  attempt: string;
  /**
   * Fencing token; an endpoint rejects a token that is not larger than the last one for the same
   * task.
   */
  token: number;
  job: string;
  taskIndex: number;
  team: string;
  work: string;
  size: Resources;
  leaseMs: number;
  payload?: unknown;
  checkpoint?: string;
}
