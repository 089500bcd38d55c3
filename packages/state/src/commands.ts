import type { EvacuationCommand } from '@lagoongap/model/evacuationState.js';
import type { EndpointAnnouncement } from '@lagoongap/model/endpoint.js';
import type { ReleaseNote } from '@lagoongap/model/releaseNote.js';
import type { JobSpec } from '@lagoongap/model/workload.js';

import type { AttemptRecord, FinishedAttempt } from './records.js';

/** Applies a well-formed release note. */
export interface ApplyNoteCommand {
  type: 'apply-note';
  note: ReleaseNote;
  contentHash: string;
  /** Identifier of the operator's key. */
  by: string;
  /** Milliseconds since the epoch, set by the leader. */
  wallTime: number;
}

/** Records a release note that was refused before it reached the log. */
export interface RefuseNoteCommand {
  type: 'refuse-note';
  number: number;
  contentHash: string;
  by: string;
  summary: string;
  wallTime: number;
}

/** Job as it is written to the log. */
export interface SubmittedJob {
  id: string;
  team: string;
  spec: JobSpec;
  priority: number;
  idempotencyKey?: string;
}

/** Accepts jobs. */
export interface SubmitJobsCommand {
  type: 'submit-jobs';
  jobs: SubmittedJob[];
  wallTime: number;
}

/** Jobs that a caller may cancel: all, those of a team, or those of queues that are open to all. */
export interface CancellationScope {
  scope: 'any' | 'team' | 'open-queues';
  /** Present for the scope `team`. */
  team?: string;
}

/** Cancels jobs; waiting tasks end at once, running tasks when their endpoints stop them. */
export interface CancelJobsCommand {
  type: 'cancel-jobs';
  jobs: string[];
  /**
   * Jobs that the leader did not know, and the caller's scope. Those that are still unknown end as
   * cancelled when their submissions arrive. Absent if there are none, and in earlier releases.
   */
  early?: CancellationScope & { jobs: string[] };
  wallTime: number;
}

/** Ends waiting jobs that can never run or whose deadline has expired. */
export interface RejectJobsCommand {
  type: 'reject-jobs';
  jobs: { id: string; reason: 'impossible' | 'deadline-exceeded'; message: string }[];
  wallTime: number;
}

/** Attempt to start; its fencing token is the index of the log entry. */
export interface StartedAttempt extends Omit<AttemptRecord, 'token' | 'session'> {
  /** Idempotency key of the request. */
  idempotencyKey?: string;
}

/** Commits placements; attempts are dispatched only after the commit. */
export interface StartAttemptsCommand {
  type: 'start-attempts';
  attempts: StartedAttempt[];
  wallTime: number;
}

/** Records the outcomes of attempts. */
export interface FinishAttemptsCommand {
  type: 'finish-attempts';
  finished: FinishedAttempt[];
  wallTime: number;
}

/** Withdraws the crashes of attempts whose endpoints turned out to have kept running. */
export interface WithdrawCrashesCommand {
  type: 'withdraw-crashes';
  attempts: Pick<AttemptRecord, 'id' | 'unitId' | 'kind' | 'taskIndex'>[];
}

/** Ends requests that will not be attempted again. */
export interface AbandonRequestsCommand {
  type: 'abandon-requests';
  requests: string[];
  state: 'failed' | 'cancelled' | 'unknown';
  wallTime: number;
}

/** Records or replaces the announcement of an endpoint. */
export interface AnnounceEndpointCommand {
  type: 'announce-endpoint';
  announcement: EndpointAnnouncement;
  session: string;
}

/** Marks an endpoint as leaving. */
export interface LeaveEndpointCommand {
  type: 'leave-endpoint';
  id: string;
}

/** Removes an endpoint without attempts. */
export interface RemoveEndpointCommand {
  type: 'remove-endpoint';
  id: string;
}

/** Begins or ends the evacuation of a data centre. */
export interface ChangeEvacuationCommand {
  type: 'change-evacuation';
  change: EvacuationCommand;
  /** Identifier of the operator's key. */
  by: string;
  wallTime: number;
}

/** Commands of one scheduling cycle, committed together. */
export interface BatchCommand {
  type: 'batch';
  commands: SingleCommand[];
}

/** Any command except a batch. */
export type SingleCommand =
  | ApplyNoteCommand
  | RefuseNoteCommand
  | SubmitJobsCommand
  | CancelJobsCommand
  | RejectJobsCommand
  | StartAttemptsCommand
  | FinishAttemptsCommand
  | WithdrawCrashesCommand
  | AbandonRequestsCommand
  | AnnounceEndpointCommand
  | LeaveEndpointCommand
  | RemoveEndpointCommand
  | ChangeEvacuationCommand;

/** Command of the replicated log. */
export type Command = SingleCommand | BatchCommand;

/** Result of `apply-note`. */
export type NoteResult =
  | { status: 'accepted'; number: number; contentHash: string }
  | { status: 'conflict'; number: number; winner: string }
  | { status: 'outdated'; number: number; newest: number }
  | { status: 'faulty'; faults: { line: number; path: string; message: string }[] };

/** Result for each job of `submit-jobs`. */
export interface SubmitResult {
  status: 'accepted' | 'duplicate';
  id: string;
}

/** Result for each attempt of `start-attempts`. */
export type StartAttemptResult =
  | { status: 'started'; token: number }
  /**
   * The attempt exists already, or its unit cannot start it, for example because the unit was
   * cancelled or has finished in the meantime.
   */
  | { status: 'obsolete' }
  | { status: 'duplicate'; id: string };
