import type { Resources } from './resources.js';

/** Workers run tasks of jobs; runners also answer requests. */
export type EndpointKind = 'worker' | 'runner';

/** Whether an endpoint may be given new work. */
export type EndpointState = 'ready' | 'leaving' | 'silent';

/** What an endpoint can do with a running task besides finishing it. */
export type EndpointCapability = 'checkpoint' | 'throttle' | 'stop';

/** Order that an endpoint is given for a running attempt. */
export type AttemptAction = 'checkpoint' | 'throttle' | 'stop';

/** What an endpoint tells about itself when it announces itself. */
export interface EndpointAnnouncement {
  /** Stable identifier chosen by the endpoint. */
  id: string;
  kind: EndpointKind;
  /** Base URL at which the endpoint accepts tasks and requests. */
  url: string;
  size: Resources;
  rack: string;
  dataCentre: string;
  /** Kinds of work that the endpoint offers to take. */
  works: string[];
  /** Relative speed; 1 is the fleet's nominal speed. */
  speed: number;
  capabilities: EndpointCapability[];
}

/** A running attempt in an endpoint's heartbeat. */
export interface RunningReport {
  attempt: string;
  token: number;
  /** Resources in use; may lag behind. */
  usage?: Resources;
}

/** A finished attempt in an endpoint's heartbeat. */
export interface FinishedReport {
  attempt: string;
  outcome: 'succeeded' | 'failed' | 'checkpointed' | 'stopped';
  message?: string;
  /** Opaque reference from which a later attempt can resume. */
  checkpoint?: string;
}

/** Heartbeat of an endpoint. */
export interface EndpointHeartbeat {
  /** Session given by the answer to the announcement. */
  session: string;
  running: RunningReport[];
  finished: FinishedReport[];
}

/** Answer to an announcement. */
export interface AnnounceAnswer {
  session: string;
  leaseMs: number;
  heartbeatMs: number;
}

/** Answer to a heartbeat. */
export interface HeartbeatAnswer {
  leaseMs: number;
  /** Finished attempts that have been recorded and need no further report. */
  acknowledged: string[];
  actions: { attempt: string; action: AttemptAction }[];
}

/** Order to start a task, sent to an endpoint. */
export interface StartOrder {
  attempt: string;
  /** Fencing token; an endpoint refuses a token that is not larger than the last one for the task. */
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
