import type { JobSpec } from './jobSpec.js';
import type { JobStatus } from './workflowRecords.js';

/** Where a call goes and who makes it. */
export interface JobCallTarget {
  host: string;
  path: string;
  /** Key presented by the caller, if any. */
  key?: string;
}

/** Call of a caller, as gateways pass it to the leader. */
export type JobCall = JobCallTarget &
  ({ operation: 'submit'; spec: JobSpec } | { operation: 'read' } | { operation: 'cancel' });

/** State of a job as callers see it. */
export type JobState = 'queued' | 'running' | Exclude<JobStatus, 'open'>;

/** Answer to a call of a caller. */
export type JobAnswer =
  | { type: 'accepted' }
  | { type: 'cancelled' }
  | { type: 'state'; state: JobState }
  | { type: 'queue'; waitingCount: number }
  /** No queue has this host and path. */
  | { type: 'no-queue' }
  | { type: 'no-job' }
  | { type: 'unauthenticated' }
  /** The job is not accepted and never runs. */
  | { type: 'refused'; retryAfterMs: number; reason: string }
  | { type: 'invalid'; reason: string }
  /** There is no configuration yet; the call has changed nothing. */
  | { type: 'not-configured' };
