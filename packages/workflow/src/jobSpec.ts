import type { Resources } from '@lagoongap/model/resources.js';

/** One step of a job: a number of identical tasks. */
export interface StepSpec {
  taskCount: number;
  /** Resources reserved per task. */
  size: Resources;
  /** Rough estimate of one task's duration in milliseconds; 0 if unknown. */
  estimateMs: number;
  /** Indexes of earlier steps that must complete first. */
  dependsOn: number[];
  /** Tasks write checkpoints and can be resumed. */
  isCheckpointing: boolean;
  /** All tasks run at the same time or not at all. */
  isGang: boolean;
  /** Tasks run slower when spread over several racks. */
  isRackLocal: boolean;
  /** Label that the endpoint must have; empty for none. */
  requiredLabel: string;
  /** Rack that stores the input data; empty for none. */
  dataRack: string;
  /** Maximum tasks of the step (of one occurrence) on one endpoint; 0 for no limit. */
  maxPerEndpoint: number;
  /** Speculative copies of a task are allowed; the first to succeed counts. */
  allowsCopies: boolean;
  /** Tasks run until the job is cancelled and are restarted whatever their outcome. */
  isService: boolean;
  /** Image that the tasks run; tasks of the same image behave alike. */
  image: string;
  /** Target of the tail response time of a latency-sensitive task in milliseconds; 0 for none. */
  latencyTargetMs: number;
  /** Best-effort tasks, which use only processor time that other tasks leave idle. */
  fillsIdleCapacity: boolean;
  /** Tasks of a service that may be unavailable at the same time during maintenance. */
  maxUnavailable: number;
}

/** Schedule of a recurring job. */
export interface JobSchedule {
  /** Due time of the first occurrence, Unix milliseconds. */
  firstMs: number;
  intervalMs: number;
  count: number;
}

/** Job as submitted by a caller. */
export interface JobSpec {
  /** Opaque text that is passed to the endpoints. */
  payload: string;
  steps: StepSpec[];
  schedule?: JobSchedule;
}

/** Identifies a task within a job. */
export interface TaskRef {
  jobId: string;
  occurrence: number;
  step: number;
  index: number;
}

/** Returns the key of a step of one occurrence within its job. */
export function stepKey(occurrence: number, step: number): string {
  return `${occurrence}.${step}`;
}

/** Returns the unique name of a step of one occurrence. */
export function stepName(jobId: string, occurrence: number, step: number): string {
  return `${jobId}.${stepKey(occurrence, step)}`;
}

/** Returns the name of a task in orders to endpoints. */
export function taskName({ jobId, occurrence, step, index }: TaskRef): string {
  return `${jobId}.${occurrence}.${step}.${index}`;
}

/** Parses a task name; returns undefined unless it is exactly the name of a task. */
export function parseTaskName(name: string): TaskRef | undefined {
  const parts = name.split('.');
  if (parts.length !== 4) return undefined;
  const [jobId, ...numbers] = parts as [string, string, string, string];
  const [occurrence, step, index] = numbers.map(Number) as [number, number, number];
  if (![occurrence, step, index].every((value) => Number.isInteger(value) && value >= 0)) {
    return undefined;
  }
  const ref = { jobId, occurrence, step, index };
  return taskName(ref) === name ? ref : undefined;
}
