import type { EndpointAnnouncement } from '@lagoongap/model/endpoint.js';
import type { Attempt, AttemptOutcome, JobSpec, JobState } from '@lagoongap/model/workload.js';

/** Crash of an endpoint for which an attempt is a suspect. */
export interface EndpointCrash {
  endpoint: string;
  /** Lost attempt. */
  attempt: string;
  /** Whether all recently started attempts that were lost in the crash are of one job or request. */
  isSole: boolean;
}

/** Task of a job. */
export interface TaskRecord {
  state: JobState;
  /** Identifier of the running attempt. */
  attempt?: string;
  /** Number of failed attempts. */
  failures: number;
  /** Endpoints on which an attempt failed, the most recent last. */
  failedOn: string[];
  /** Crashes since the task last worked for a while; absent if there were none. */
  crashes?: readonly EndpointCrash[];
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
  crashes?: readonly EndpointCrash[];
  idempotencyKey?: string;
  finishedAt?: number;
}

/** Committed attempt that has not ended. */
export interface AttemptRecord extends Attempt {
  /** Fencing token: log index of the entry that committed the attempt. */
  token: number;
  /** Session of the endpoint at the commit; absent if the endpoint has left since. */
  session?: string;
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
  /** Crash of the endpoint for which the attempt is a suspect. */
  crash?: Omit<EndpointCrash, 'attempt'>;
  /** Whether the attempt ran long enough to clear its unit of earlier crashes. */
  hasWorked?: boolean;
}
