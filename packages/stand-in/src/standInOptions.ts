import type { EndpointAnnouncement } from '@lagoongap/model/endpoint.js';
import type { Resources } from '@lagoongap/model/resources.js';

/** Faults and habits of a stand-in endpoint; may be changed while it runs. */
export interface StandInBehaviour {
  /** Answers requests with status 500 and fails tasks at once. */
  failsEverything: boolean;
  /** Delay added to every request and task, in milliseconds. */
  slowMs: number;
  /** Accepts requests and start orders and never answers. */
  hangs: boolean;
  /** Closes the connection after the first byte of the body of an answer. */
  closesAfterFirstByte: boolean;
  /** Reported usage is the true one times this factor. */
  usageFactor: number;
  /** Starts tasks whatever their fencing token is and whether or not the lease is valid. */
  startsWhateverItIsGiven: boolean;
}

/** Behaviour of a sound endpoint. */
export const SOUND_BEHAVIOUR: Readonly<StandInBehaviour> = Object.freeze({
  failsEverything: false,
  slowMs: 0,
  hangs: false,
  closesAfterFirstByte: false,
  usageFactor: 1,
  startsWhateverItIsGiven: false,
});

/** A start or end of an attempt, as recorded for history checkers. */
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
  /** What is announced; the URL is filled in once the endpoint listens. */
  announcement: Omit<EndpointAnnouncement, 'url'>;
  /** Base URLs of gateways; any of them is used, the next one after a failure. */
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

/** Payload of a task that the stand-in understands. */
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
  /** Delay before the answer, in milliseconds. */
  sleepMs?: number;
  /** Length of the answer's body; the request body is repeated to fill it. */
  bytes?: number;
  /** Status to answer with. */
  failWith?: number;
  /** Closes the connection after this many bytes of the answer's body. */
  cutAfterBytes?: number;
  /** Number of pieces that the body is written in. */
  pieces?: number;
  /** Pause between two pieces, in milliseconds. */
  pieceMs?: number;
  /** Omits the content length, so that the body is chunked. */
  chunked?: boolean;
  marker?: string;
}
