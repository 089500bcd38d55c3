import type { JobSpec } from './jobSpec.js';
import type { JobStatus } from './workflowRecords.js';

/** Target and credentials of a call. */
export interface JobCallTarget {
  host: string;
  path: string;
  /** Key sent by the caller, if any. */
  key?: string;
}

/** Call of a caller, as forwarded to the leader by a gateway. */
export type JobCall = JobCallTarget &
  ({ operation: 'submit'; spec: JobSpec } | { operation: 'read' } | { operation: 'cancel' });

/** State of a job as callers see it. */
export type JobState = 'queued' | 'running' | Exclude<JobStatus, 'open'>;

/** Response to a call of a caller. */
export type JobResponse =
  | { type: 'accepted' }
  | { type: 'cancelled' }
  | { type: 'state'; state: JobState }
  | { type: 'queue'; waitingCount: number }
  /** No queue has this host and path. */
  | { type: 'no-queue' }
  /** After a cancellation: it is recorded, and the job will not run if its submission arrives. */
  | { type: 'no-job' }
  | { type: 'unauthenticated' }
  | { type: 'invalid'; reason: string }
  /** There is no configuration yet; the call had no effect. */
  | { type: 'not-configured' };
