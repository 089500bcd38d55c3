import type { EndpointAnnouncement } from '@lagoongap/model/endpoint.js';
import type { ReleaseNote } from '@lagoongap/model/releaseNote.js';
import type { JobSpec } from '@lagoongap/model/workload.js';

import type { AttemptRecord, FinishedAttempt } from './records.js';

/** Applies a release note that was found to be well-formed. */
export interface ApplyNoteCommand {
  type: 'apply-note';
  note: ReleaseNote;
  contentHash: string;
  /** Key id of the operator. */
  by: string;
  /** Milliseconds since the epoch, stamped by the leader. */
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

/** A job as it enters the log. */
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

/** Cancels jobs; waiting tasks end at once, running ones when their endpoints have stopped them. */
export interface CancelJobsCommand {
  type: 'cancel-jobs';
  jobs: string[];
  wallTime: number;
}

/** Ends waiting jobs that cannot or may no longer run. */
export interface RejectJobsCommand {
  type: 'reject-jobs';
  jobs: { id: string; reason: 'impossible' | 'deadline-exceeded'; message: string }[];
  wallTime: number;
}

/** An attempt to be started; the token is the index of the entry. */
export interface StartedAttempt extends Omit<AttemptRecord, 'token'> {
  /** Idempotency key of the request. */
  idempotencyKey?: string;
}

/** Commits placements; nothing is dispatched before. */
export interface StartAttemptsCommand {
  type: 'start-attempts';
  attempts: StartedAttempt[];
  wallTime: number;
}

/** Records how attempts ended. */
export interface FinishAttemptsCommand {
  type: 'finish-attempts';
  finished: FinishedAttempt[];
  wallTime: number;
}

/** Ends requests that get no further attempt. */
export interface AbandonRequestsCommand {
  type: 'abandon-requests';
  requests: string[];
  state: 'failed' | 'cancelled' | 'unknown';
  wallTime: number;
}

/** Records or changes what an endpoint announced. */
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

/** Removes an endpoint that has no attempts any more. */
export interface RemoveEndpointCommand {
  type: 'remove-endpoint';
  id: string;
}

/** Commands of one turn, committed together. */
export interface BatchCommand {
  type: 'batch';
  commands: SingleCommand[];
}

/** Any command but a batch. */
export type SingleCommand =
  | ApplyNoteCommand
  | RefuseNoteCommand
  | SubmitJobsCommand
  | CancelJobsCommand
  | RejectJobsCommand
  | StartAttemptsCommand
  | FinishAttemptsCommand
  | AbandonRequestsCommand
  | AnnounceEndpointCommand
  | LeaveEndpointCommand
  | RemoveEndpointCommand;

/** A command of the replicated log. */
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
  /** The unit was cancelled or finished meanwhile, or the idempotency key belongs to another one. */
  | { status: 'obsolete' }
  | { status: 'duplicate'; id: string };
