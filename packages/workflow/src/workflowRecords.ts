import type { Resources } from '@lagoongap/model/resources.js';

import type { JobSpec } from './jobSpec.js';

/** How a run of a task ended. */
export type RunOutcome =
  /** Ended well. */
  | 'done'
  /** Failed by its own fault or the endpoint's. */
  | 'failed'
  /** Stopped by an order. */
  | 'stopped'
  /** Killed when its lease ran out. */
  | 'lapsed'
  /** Another member of its gang ended. */
  | 'broken'
  /** The other members of its gang did not come. */
  | 'alone'
  /** Gone without a report, or never started. */
  | 'lost';

/** A run that may be on an endpoint. */
export interface RunRecord {
  run: number;
  endpoint: string;
}

/** One task of a step. */
export interface TaskRecord {
  isDone: boolean;
  /** Number of the latest run; 0 before the first. */
  lastRun: number;
  failures: number;
  /** Saved progress to resume from. */
  checkpoint?: string;
  /** Runs whose end has not been recorded. */
  runs: RunRecord[];
}

/** One step of one occurrence. */
export interface StepRecord {
  occurrence: number;
  step: number;
  doneCount: number;
  /** All tasks have ended well. */
  isCompleted: boolean;
  /** Failed runs of the gang as a whole. */
  gangFailures: number;
  lastFailedGangRun: number;
  tasks: TaskRecord[];
}

/** State of a job; the last three are final. */
export type JobStatus = 'open' | 'completed' | 'failed' | 'cancelled';

/** A job that was accepted. */
export interface JobRecord {
  id: string;
  queue: string;
  organisation: string;
  /** Failed runs after which a task is given up. */
  maxAttempts: number;
  /** Time of acceptance, Unix milliseconds. */
  acceptedMs: number;
  spec: JobSpec;
  status: JobStatus;
  hasStarted: boolean;
  /** Steps that have not ended, over all occurrences. */
  openSteps: number;
  steps: Map<string, StepRecord>;
}

/** An endpoint as it announced itself. */
export interface EndpointRecord {
  id: string;
  /** `host:port` that takes orders. */
  address: string;
  dataCentre: string;
  pool: string;
  /** Instance on which it runs; empty if it did not say. */
  instance: string;
  /** Start of its process, Unix milliseconds; 0 if it did not say. */
  bornMs: number;
  capacity: Resources;
  /** Kind of hardware; endpoints of a kind are about as fast. */
  kind: string;
  rack: string;
  /** All labels, kind and rack included. */
  labels: string[];
  isDraining: boolean;
}

/** Maintenance of several instances, a bounded number at a time. */
export interface WaveRecord {
  number: number;
  instances: string[];
  withinMs: number;
  maxDown: number;
  /** Instances whose maintenance has begun. */
  begun: string[];
  isCompleted: boolean;
}
