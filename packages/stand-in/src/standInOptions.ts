import type { EndpointAnnouncement } from '@lagoongap/model/endpoint.js';
import type { Resources } from '@lagoongap/model/resources.js';

/** Simulated faults of a stand-in endpoint; may be changed while it runs. */
export interface StandInBehaviour {
  /** Responds to requests with status 500 and fails tasks immediately. */
  failsEverything: boolean;
  /** Delay added to every request and task, in milliseconds. */
  slowMs: number;
  /** Accepts requests and start orders but never responds. */
  hangs: boolean;
  /** Closes the connection after the first byte of a response body. */
  closesAfterFirstByte: boolean;
  /** Factor by which the reported usage differs from the actual one. */
  usageFactor: number;
  /** Starts tasks without checking the fencing token and the lease. */
  startsWhateverItIsGiven: boolean;
}

/** Behaviour of a healthy endpoint. */
export const DEFAULT_BEHAVIOUR: Readonly<StandInBehaviour> = Object.freeze({
  failsEverything: false,
  slowMs: 0,
  hangs: false,
  closesAfterFirstByte: false,
  usageFactor: 1,
  startsWhateverItIsGiven: false,
});

/** Start or end of an attempt, recorded for the history checkers of the tests. */
export interface HistoryEvent {
  type: 'start' | 'end';
  endpoint: string;
  attempt: string;
  token: number;
  /** Job and task index, or the attempt itself for a request. */
  task: string;
  kind: 'request' | 'task';
  /** Copied from the payload or request body, to match attempts with what a test submitted. */
  marker?: string;
  outcome?: string;
  /** Monotonic clock of the machine in milliseconds; comparable between its processes. */
  monotonicMs: number;
  /** Wall-clock time in milliseconds. */
  wallMs: number;
}

/** Options of a {@link StandInEndpoint}. */
export interface StandInOptions {
  /** Announcement to the gateways; the URL is added once the endpoint listens. */
  announcement: Omit<EndpointAnnouncement, 'url'>;
  /** Base URLs of gateways; one is used at a time, the next one after a failure. */
  gateways: string[];
  /** Secret of an endpoint key. */
  key: string;
  /** Address to listen on; 127.0.0.1 by default. */
  host?: string;
  /** Port to listen on; a free one by default. */
  port?: number;
  behaviour?: Partial<StandInBehaviour>;
  /** Called at every start and end of an attempt. */
  onHistory?: (event: HistoryEvent) => void;
}

/** Task payload that the stand-in supports. */
export interface StandInPayload {
  /** Run time in milliseconds; a task without one runs until it is stopped. */
  runMs?: number;
  fail?: boolean;
  /** Usage to report; the size of the order by default. */
  usage?: Resources;
  marker?: string;
}

/** Instructions that a JSON request body may carry. */
export interface StandInInstruction {
  /** Delay before the response, in milliseconds. */
  sleepMs?: number;
  /** Length of the response body in bytes; the echoed body is repeated to fill it. */
  bytes?: number;
  /** Status code of the response. */
  failWith?: number;
  /** Closes the connection after this many bytes of the response body. */
  cutAfterBytes?: number;
  /** Number of pieces in which the body is written. */
  pieces?: number;
  /** Delay between two pieces, in milliseconds. */
  pieceMs?: number;
  /** Omits the content length, so that the body is chunked. */
  chunked?: boolean;
  marker?: string;
}
