import type { Resources } from '@lagoongap/model/resources.js';

import type { CapacityForecast } from './capacityForecast.js';
import type { AwaitedRoom } from './roomHolds.js';

/** A step that could not be placed, on behalf of which runs may be stopped. */
export interface UrgentStep {
  name: string;
  organisation: string;
  /** Priority of its queue; only runs of queues with a higher number are stopped. */
  priority: number;
  size: Resources;
  /** Number of waiting tasks for which no room is held. */
  taskCount: number;
  /** Time for which it can still wait so that its job completes in time; negative if it is late. */
  slackMs: number;
  /** Time from its due time in which its job should complete. */
  targetMs: number;
  /** Expected duration of a task. */
  durationMs: number;
  /** Endpoints that may start its tasks as soon as they have room. */
  endpoints: {
    id: string;
    /** Largest number of further tasks, whatever the capacity. */
    maxTasks: number;
  }[];
}

/** A run that may be stopped. */
export interface StoppableRun {
  key: string;
  /** Name of its step. */
  step: string;
  endpoint: string;
  pool: string;
  organisation: string;
  priority: number;
  size: Resources;
  /** Time after which it is expected to end by itself. */
  remainingMs: number;
  /** Slack of its job if it is not stopped. */
  slackMs: number;
  /** Time from its due time in which its job should complete. */
  targetMs: number;
  /** Time from its start elsewhere until it does new work, and to get a ticket for that. */
  restartMs: number;
  /** Number of recent stops of its task. */
  preemptions: number;
}

/** An endpoint as the planner sees it. */
export interface EndpointRoom {
  forecast: CapacityForecast;
  /** Empty if nothing may be stopped on the endpoint. */
  runs: StoppableRun[];
}

/** Running work and its limits at the time of planning. */
export interface PreemptionFleet {
  /** Returns the same object for the same endpoint; undefined if it is gone. */
  findRoom(endpoint: string): EndpointRoom | undefined;
  /** Returns the headroom of an organisation in its limit; the same object for each call. */
  limitOf(organisation: string): CapacityForecast;
  /** Returns the runs of an organisation that may be stopped, on any endpoint. */
  listRunsOf(organisation: string): StoppableRun[];
  /** Returns whether the bounds on what is stopped at a time permit to stop further runs. */
  mayStop(runs: readonly StoppableRun[]): boolean;
  /** Records that a run is going to be stopped. */
  recordStop(run: StoppableRun): void;
}

/** A run to stop, and why. */
export interface PlannedStop {
  run: StoppableRun;
  step: UrgentStep;
  /** Time by which the step would be late if it waited for capacity; Infinity if it is not known. */
  latenessMs: number;
  /** The organisation of the step is at its limit. */
  isForLimit: boolean;
}

/** Room to hold for one task of a step. */
export interface PlannedHold {
  endpoint: string;
  step: UrgentStep;
  /** Runs on the endpoint that are stopped for it. */
  awaits: AwaitedRoom[];
}

/** Result of planning. */
export interface PreemptionPlan {
  stops: PlannedStop[];
  holds: PlannedHold[];
}

/** Durations that the planner takes into account, in milliseconds. */
export interface PreemptionTiming {
  /** Longest time from the decision to stop a run to the use of its room. */
  freeingMs: number;
  /** Time for which room is held, after which a stop is overdue. */
  holdMs: number;
}
