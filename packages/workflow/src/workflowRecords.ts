import type { Resources } from '@lagoongap/model/resources.js';

import type { JobSpec } from './jobSpec.js';
import type { OccurrenceRanges } from './occurrenceRanges.js';

/** Outcome of a run. */
export type RunOutcome =
  /** Succeeded. */
  | 'done'
  /** Failed because of the task or the endpoint. */
  | 'failed'
  /** Stopped by an order. */
  | 'stopped'
  /** Killed when its lease expired. */
  | 'lapsed'
  /** Ended because another member of its gang ended. */
  | 'broken'
  /** Ended because the other members of its gang did not start. */
  | 'alone'
  /** Ended without a report, or never started. */
  | 'lost';

/** A run that may be active on an endpoint. */
export interface RunRecord {
  run: number;
  endpoint: string;
}

/** Crashes that came one after the other, each about as late after the start of the run. */
export interface CrashSeries {
  /** Time from the start to the latest of them in milliseconds. */
  exposureMs: number;
  /** Instance that crashed last. */
  instance: string;
  /** Number of crashes, but for those of the same instance as the crash before. */
  count: number;
}

/** Crashes of endpoints that a task was running on; each member of a gang has its own. */
export interface CrashHistory {
  /** Runs whose crash is recorded, in ascending order. */
  runs: number[];
  /** Number of crashes that may have been caused by the task. */
  count: number;
  /** Number of these that nothing but the task explains. */
  soleCount: number;
  /** Number of these that came promptly after the confirmed start of the run. */
  promptCount: number;
  /** Largest estimated probability that the task caused one of the crashes, 0 to 1. */
  suspicion: number;
  /** Time from the start of a run to the crash that is suspected most, in milliseconds. */
  exposureMs: number;
  /** Absent in snapshots of earlier releases. */
  series?: CrashSeries;
}

/** One task of a step. */
export interface TaskRecord {
  isDone: boolean;
  /** Number of the latest run; 0 before the first. */
  lastRun: number;
  failures: number;
  /** Absent if there were none, and in snapshots of earlier releases. */
  crashes?: CrashHistory;
  /** Latest checkpoint, from which the task resumes. */
  checkpoint?: string;
  /** Runs whose end is not committed yet. */
  runs: RunRecord[];
  /**
   * Latest runs that were given up without a report, which may still come. Absent if there were
   * none, and in snapshots of earlier releases.
   */
  givenUp?: number[];
}

/** One step of one occurrence. */
export interface StepRecord {
  occurrence: number;
  step: number;
  doneCount: number;
  /** All tasks have succeeded. */
  isCompleted: boolean;
  /** Number of failed runs of the gang as a whole. */
  gangFailures: number;
  lastFailedGangRun: number;
  tasks: TaskRecord[];
}

/** State of a job; the last three are final. */
export type JobStatus = 'open' | 'completed' | 'failed' | 'cancelled';

/** An accepted job. */
export interface JobRecord {
  id: string;
  queue: string;
  organisation: string;
  /** Number of failed runs after which a task, and with it the job, fails. */
  maxAttempts: number;
  /** Time of acceptance, Unix milliseconds. */
  acceptedMs: number;
  spec: JobSpec;
  status: JobStatus;
  hasStarted: boolean;
  /** Number of steps that have not completed, over all occurrences. */
  openSteps: number;
  /** Steps with a task that has started, but for those of completed occurrences. */
  steps: Map<string, StepRecord>;
  /** Occurrences that have completed and whose runs have all ended; absent if there are none. */
  completed?: OccurrenceRanges;
}

/** An endpoint as described by its heartbeat. */
export interface EndpointRecord {
  id: string;
  /** `host:port` that accepts orders. */
  address: string;
  dataCentre: string;
  pool: string;
  /** Instance on which it runs; empty if not reported. */
  instance: string;
  /** Start time of its process, Unix milliseconds; 0 if not reported. */
  bornMs: number;
  capacity: Resources;
  /** Hardware kind; endpoints of the same kind are about equally fast. */
  kind: string;
  rack: string;
  /** All labels, including kind and rack. */
  labels: string[];
  isDraining: boolean;
  /**
   * Sequence of the heartbeat that reported this record; earlier heartbeats of the incarnation are
   * late. Absent in records of earlier versions.
   */
  sequence?: number;
  /**
   * About the end of the warm-up, Unix milliseconds; 0 or past if the endpoint is warm. Changed only
   * if a report differs much. Absent in records of earlier releases.
   */
  coldUntilMs?: number;
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
