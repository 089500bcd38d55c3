import type { Refusal } from '@lagoongap/model/refusal.js';

/** Outcome of one request as observed by its caller. */
export interface CallRecord {
  /** Unique text of the request, recorded by the endpoint that runs it. */
  marker: string;
  /** Id of the instance that received the request. */
  instance: string;
  noRepeat: boolean;
  /** Request body. */
  sent: string;
  outcome: 'answered' | 'refused' | 'connection-lost';
  status?: number;
  body?: string;
  refusal?: Refusal;
  /** Milliseconds on the monotonic clock. */
  startedAtMs: number;
  endedAtMs: number;
}
