import type { Resources } from './resources.js';

/** Kind of work, which determines how it is placed. */
export type WorkloadKind = 'service' | 'batch' | 'gang' | 'request';

/** Kind of a job; requests are not jobs. */
export type JobKind = Exclude<WorkloadKind, 'request'>;

/** State of a job or of one of its tasks. */
export type JobState =
  'waiting' | 'running' | 'succeeded' | 'failed' | 'cancelled' | 'impossible' | 'unknown';

/** Outcome of an attempt, as reported by its endpoint or determined by the coordinator. */
export type AttemptOutcome =
  'succeeded' | 'failed' | 'checkpointed' | 'stopped' | 'not-run' | 'lost';

/** Specification of a job, as submitted by a caller. */
export interface JobSpec {
  kind: JobKind;
  /** Name of the queue. */
  queue: string;
  /** Kind of work, matched against the kinds that endpoints may run. */
  work: string;
  /** Number of tasks; the tasks of a gang must all run at the same time. */
  tasks: number;
  /** Declared size of one task. */
  size: Resources;
  /** Opaque JSON value passed to the endpoint. */
  payload?: unknown;
  /** Whether a task that may have started must never be started again. */
  noRepeat: boolean;
  /** Time after acceptance at which tasks that are still waiting are rejected. */
  deadlineMs?: number;
}

/** A unit of work that is waiting for placement. */
export interface WorkUnit {
  /** Job or request identifier. */
  id: string;
  kind: WorkloadKind;
  team: string;
  queue: string;
  work: string;
  /** Larger values are placed first. */
  priority: number;
  /** Declared size of one task. */
  size: Resources;
  /** Indexes of the waiting tasks; a gang is placed all or nothing. */
  indexes: number[];
  /** Monotonic time at which the unit was queued. */
  enqueuedAtMs: number;
  /** Monotonic time after which the unit is rejected. */
  deadlineAtMs?: number;
  /** Endpoints that must not be selected, for example because an attempt failed there. */
  excluded: string[];
}

/** An attempt to run one task or request on one endpoint. */
export interface Attempt {
  id: string;
  /** Job or request identifier. */
  unitId: string;
  kind: WorkloadKind;
  taskIndex: number;
  team: string;
  queue: string;
  work: string;
  priority: number;
  endpointId: string;
  /** Resources reserved on the endpoint. */
  size: Resources;
  /** Declared size of the task. */
  declared: Resources;
}
