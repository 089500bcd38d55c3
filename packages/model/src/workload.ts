import type { Resources } from './resources.js';

/** How a unit of work is placed. */
export type WorkloadKind = 'service' | 'batch' | 'gang' | 'request';

/** How a job is placed; requests are not jobs. */
export type JobKind = Exclude<WorkloadKind, 'request'>;

/** State of a job or of one of its tasks. */
export type JobState =
  'waiting' | 'running' | 'succeeded' | 'failed' | 'cancelled' | 'impossible' | 'unknown';

/** How an attempt ended, as reported by its endpoint or concluded by the coordinator. */
export type AttemptOutcome =
  'succeeded' | 'failed' | 'checkpointed' | 'stopped' | 'not-run' | 'lost';

/** What a caller asks for when it submits a job. */
export interface JobSpec {
  kind: JobKind;
  /** Name of the queue. */
  queue: string;
  /** Kind of work, matched against what endpoints take. */
  work: string;
  /** Number of tasks; all of them must run at once for a gang. */
  tasks: number;
  /** Declared size of one task. */
  size: Resources;
  /** Opaque JSON handed to the endpoint. */
  payload?: unknown;
  /** A task that may have started is never started again. */
  noRepeat: boolean;
  /** Time from acceptance after which waiting tasks are given up, in milliseconds. */
  deadlineMs?: number;
}

/** A unit of work that waits for a placement. */
export interface WorkUnit {
  /** Job or request identifier. */
  id: string;
  kind: WorkloadKind;
  team: string;
  queue: string;
  work: string;
  /** Larger goes first. */
  priority: number;
  /** Declared size of one task. */
  size: Resources;
  /** Indexes of the tasks that wait; a gang is placed all or none. */
  indexes: number[];
  /** Monotonic time in milliseconds. */
  enqueuedAtMs: number;
  /** Monotonic time in milliseconds after which the unit is rejected. */
  deadlineAtMs?: number;
  /** Endpoints that must not be chosen, for instance because an attempt failed there. */
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
  /** Size reserved on the endpoint. */
  size: Resources;
  /** Declared size of the task. */
  declared: Resources;
}
