import type { Resources } from '@lagoongap/model/resources.js';

/** One step of a job: a number of equal tasks. */
export interface StepSpec {
  taskCount: number;
  /** What one task reserves. */
  size: Resources;
  /** Rough estimate of one task's duration in milliseconds; 0 if unknown. */
  estimateMs: number;
  /** Numbers of earlier steps that must have ended well first. */
  dependsOn: number[];
  /** Tasks save their progress and can be resumed. */
  isCheckpointing: boolean;
  /** All tasks run together or not at all. */
  isGang: boolean;
  /** Tasks are slower when they are spread over several racks. */
  isRackLocal: boolean;
  /** Label that the endpoint must carry; empty for none. */
  requiredLabel: string;
  /** Rack of the data; empty for none. */
  dataRack: string;
  /** Most tasks of the step (of one occurrence) on one endpoint; 0 for no bound. */
  maxPerEndpoint: number;
  /** Copies of a task may run at the same time; the first to end well counts. */
  allowsCopies: boolean;
  /** Tasks run until the job is cancelled and are restarted however they end. */
  isService: boolean;
  /** What the tasks run; tasks of one image behave alike. */
  image: string;
  /** Bound of the tail response time of a serving task in milliseconds; 0 for none. */
  latencyTargetMs: number;
  /** Tasks take only processor time that the others leave unused. */
  fillsIdleCapacity: boolean;
  /** Tasks of a service that may be unavailable at once because of planned work. */
  maxUnavailable: number;
}

/** Times at which a job's steps run again. */
export interface JobSchedule {
  /** Due time of the first occurrence, Unix milliseconds. */
  firstMs: number;
  intervalMs: number;
  count: number;
}

/** Work that a caller hands in. */
export interface JobSpec {
  /** Opaque text for the endpoints. */
  payload: string;
  steps: StepSpec[];
  schedule?: JobSchedule;
}

/** Place of a task in its job. */
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

/** Returns the name by which endpoints know a task. */
export function taskName({ jobId, occurrence, step, index }: TaskRef): string {
  return `${jobId}.${occurrence}.${step}.${index}`;
}

/** Returns the place that a task name stands for, or undefined if it is none. */
export function parseTaskName(name: string): TaskRef | undefined {
  const parts = name.split('.');
  if (parts.length !== 4) return undefined;
  const [jobId, ...numbers] = parts as [string, string, string, string];
  const [occurrence, step, index] = numbers.map(Number) as [number, number, number];
  if (![occurrence, step, index].every((value) => Number.isInteger(value) && value >= 0)) {
    return undefined;
  }
  return { jobId, occurrence, step, index };
}
