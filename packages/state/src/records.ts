import type { EndpointAnnouncement } from '@lagoongap/model/endpoint.js';
import type { Attempt, AttemptOutcome, JobSpec, JobState } from '@lagoongap/model/workload.js';

/** Task of a job. */
export interface TaskRecord {
  state: JobState;
  /** Identifier of the running attempt. */
  attempt?: string;
  /** Number of failed attempts. */
  failures: number;
  /** Endpoints on which an attempt failed, the most recent last. */
  failedOn: string[];
  /** Opaque reference from which the next attempt resumes. */
  checkpoint?: string;
  /** Message of the last attempt for the caller. */
  message?: string;
}

/** Job with its tasks. */
export interface JobRecord {
  id: string;
  team: string;
  spec: JobSpec;
  priority: number;
  state: JobState;
  /** Whether a caller has cancelled the job; running tasks are being stopped. */
  cancelled: boolean;
  /** Whether the running tasks of a gang are being stopped because another task has ended. */
  stopping: boolean;
  tasks: TaskRecord[];
  idempotencyKey?: string;
  /** Human-readable reason for the end of the job. */
  message?: string;
  /** Wall time in milliseconds since the epoch, for display and for retention. */
  submittedAt: number;
  finishedAt?: number;
}

/** Request for which at least one attempt has been committed. */
export interface RequestRecord {
  id: string;
  team: string;
  queue: string;
  work: string;
  noRepeat: boolean;
  state: JobState;
  attempts: number;
  attempt?: string;
  idempotencyKey?: string;
  finishedAt?: number;
}

/** Committed attempt that has not ended. */
export interface AttemptRecord extends Attempt {
  /** Fencing token: log index of the entry that committed the attempt. */
  token: number;
  noRepeat: boolean;
  /** Gateway process that dispatches the attempt of a request, as `<instance id>:<boot id>`. */
  owner?: string;
  /** Deadline of a request, in milliseconds after its admission. */
  deadlineMs?: number;
}

/** Endpoint that has announced itself and has not been removed. */
export interface EndpointRecord {
  announcement: EndpointAnnouncement;
  session: string;
  leaving: boolean;
}

/** Accepted release note, retained indefinitely so that resent notes get the same response. */
export interface NoteRecord {
  number: number;
  contentHash: string;
}

/** Outcome of an attempt. */
export interface FinishedAttempt {
  attempt: string;
  outcome: AttemptOutcome;
  message?: string;
  checkpoint?: string;
  /** Whether the request gets no further attempt. */
  final?: boolean;
}
