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

/** Accepts a job; does nothing if a job with the same id exists. */
export interface SubmitCommand {
  type: 'submit';
  id: string;
  queue: string;
  organisation: string;
  maxAttempts: number;
  acceptedMs: number;
  spec: JobSpec;
}

/** Command that changes the replicated workflow state. */
export type WorkflowCommand =
  | ConfigureCommand
  | SubmitCommand
  | { type: 'cancel'; id: string }
  | { type: 'start'; runs: StartedRun[] }
  | { type: 'end'; runs: EndedRun[] }
  | { type: 'register'; endpoint: EndpointRecord }
  | { type: 'unregister'; id: string }
  | { type: 'forget'; ids: string[] }
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
