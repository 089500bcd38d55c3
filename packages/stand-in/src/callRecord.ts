import type { Refusal } from '@lagoongap/model/refusal.js';

/** What a caller saw of one request. */
export interface CallRecord {
  /** Text that is unique to the request and recorded by the endpoint that runs it. */
  marker: string;
  /** Instance that the request was sent to. */
  instance: string;
  noRepeat: boolean;
  /** Body that was sent. */
  sent: string;
  outcome: 'answered' | 'refused' | 'connection-lost';
  status?: number;
  body?: string;
  refusal?: Refusal;
  /** Monotonic milliseconds. */
  startedAtMs: number;
  endedAtMs: number;
}
