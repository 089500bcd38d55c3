import type { EvacuationCommand } from '@lagoongap/model/evacuationState.js';
import type { CrashEvidence } from './crashRecord.js';
import type { JobSpec, TaskRef } from './jobSpec.js';
import type { EndpointRecord, RunOutcome } from './workflowRecords.js';

/** A run that is about to be ordered. */
export interface StartedRun {
  task: TaskRef;
  run: number;
  endpoint: string;
}

/** The end of a run. */
export interface EndedRun {
  task: TaskRef;
  run: number;
  outcome: RunOutcome;
  checkpoint?: string;
  /**
   * Measured duration of a run that tells what its work takes, without the effect of its endpoint but
   * with that of the kind; milliseconds. Absent for other runs and in commands of earlier releases.
   */
  durationMs?: number;
  /** Present if the endpoint crashed; may follow the end of a run whose lease had expired. */
  crash?: CrashEvidence;
}

/** Replaces the configuration unless the same or a newer version is in force. */
export interface ConfigureCommand {
  type: 'configure';
  version: number;
  document: string;
}

/**
 * Accepts a job; does nothing if a job with the same id exists. A job that has been cancelled before
 * is stored as cancelled.
 */
export interface SubmitCommand {
  type: 'submit';
  id: string;
  queue: string;
  organisation: string;
  maxAttempts: number;
  acceptedMs: number;
  spec: JobSpec;
}

/** Cancels a job, or its submission if the job is not known. */
export interface CancelCommand {
  type: 'cancel';
  id: string;
  /**
   * Queue and organisation of the caller. Absent in commands of earlier releases, which have no
   * effect on unknown jobs.
   */
  queue?: string;
  organisation?: string;
}

/** Removes what is kept about jobs that are over. */
export interface ForgetCommand {
  type: 'forget';
  /** Ids of ended jobs. */
  ids: string[];
  /** Keys of cancellations of unknown jobs; absent in commands of earlier releases. */
  cancellations?: string[];
}

/** Command that changes the replicated workflow state. */
export type WorkflowCommand =
  | ConfigureCommand
  | SubmitCommand
  | CancelCommand
  | { type: 'start'; runs: StartedRun[] }
  | { type: 'end'; runs: EndedRun[] }
  | { type: 'register'; endpoint: EndpointRecord }
  | { type: 'unregister'; id: string }
  | ForgetCommand
  | {
      type: 'open-wave';
      number: number;
      instances: string[];
      withinMs: number;
      maxDown: number;
    }
  | { type: 'begin-maintenance'; number: number; instance: string }
  | { type: 'close-wave'; number: number }
  | EvacuationCommand;
