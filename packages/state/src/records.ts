import type { EndpointAnnouncement } from '@lagoongap/model/endpoint.js';
import type { Attempt, AttemptOutcome, JobSpec, JobState } from '@lagoongap/model/workload.js';

/** State of one task of a job. */
export interface TaskRecord {
  state: JobState;
  /** Running attempt. */
  attempt?: string;
  /** Number of attempts that failed or were lost. */
  failures: number;
  /** Endpoints at which an attempt failed; the newest last. */
  failedOn: string[];
  /** Opaque reference from which the next attempt resumes. */
  checkpoint?: string;
  /** Outcome of the last attempt, for the caller. */
  message?: string;
}

/** A job with its tasks. */
export interface JobRecord {
  id: string;
  team: string;
  spec: JobSpec;
  priority: number;
  state: JobState;
  /** Set when a caller cancelled the job; running tasks are being stopped. */
  cancelled: boolean;
  /** Set when the remaining tasks of a gang are being stopped because one task ended. */
  stopping: boolean;
  tasks: TaskRecord[];
  idempotencyKey?: string;
  /** Why the job ended, in words. */
  message?: string;
  /** Wall time in milliseconds since the epoch, for people and for retention. */
  submittedAt: number;
  finishedAt?: number;
}

/** A request for which at least one attempt was committed. */
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

/** An attempt that has been committed and has not ended. */
export interface AttemptRecord extends Attempt {
  /** Fencing token: log index of the commit. */
  token: number;
  noRepeat: boolean;
  /** Gateway process that dispatches the attempt of a request: `<instance id>:<boot id>`. */
  owner?: string;
  /** Time that the caller of a request allowed, counted from its admission, in milliseconds. */
  deadlineMs?: number;
}

/** An endpoint that has announced itself and has not been removed. */
export interface EndpointRecord {
  announcement: EndpointAnnouncement;
  session: string;
  leaving: boolean;
}

/** Entry of the accepted release notes, kept without end so that resent notes get the same answer. */
export interface NoteRecord {
  number: number;
  contentHash: string;
}

/** How an attempt ended. */
export interface FinishedAttempt {
  attempt: string;
  outcome: AttemptOutcome;
  message?: string;
  checkpoint?: string;
  /** The request gets no further attempt. */
  final?: boolean;
}
