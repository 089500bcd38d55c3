import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import type { EndpointAnnouncement, EndpointState } from '@lagoongap/model/endpoint.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { Attempt, AttemptOutcome, WorkUnit } from '@lagoongap/model/workload.js';

/** An endpoint as the scheduler sees it. */
export interface EndpointView extends EndpointAnnouncement {
  state: EndpointState;
  /** Ejected endpoints get no work until probation ends. */
  ejected: boolean;
}

/** Places attempts of a unit; they must be committed before they are dispatched. */
export interface PlaceDecision {
  type: 'place';
  unit: WorkUnit;
  attempts: Attempt[];
}

/** Removes a unit from the queue without a placement. */
export interface RejectDecision {
  type: 'reject';
  unit: WorkUnit;
  /** `impossible` work can never run; `deadline-exceeded` work waited too long. */
  reason: 'impossible' | 'deadline-exceeded';
  message: string;
}

/** Orders a step of the preemption of a running attempt. */
export interface PreemptDecision {
  type: 'preempt';
  attemptId: string;
  endpointId: string;
  action: 'checkpoint' | 'throttle' | 'stop';
  /** Human-readable reason for operators. */
  reason: string;
}

/** Decision of a scheduling cycle. */
export type Decision = PlaceDecision | RejectDecision | PreemptDecision;

/** Statistics for metrics and status. */
export interface SchedulerStats {
  waiting: number;
  running: number;
  /** Dominant share of the fleet that each team has reserved, by team name. */
  teamShares: Record<string, number>;
  /** Waiting units by queue name. */
  waitingByQueue: Record<string, number>;
  /** Reserved over total capacity of the endpoints in use, per dimension, from 0 to 1. */
  packing: Resources;
}

/**
 * Decides where work runs. Implementations are synchronous and deterministic;
 * time is passed in as monotonic milliseconds.
 */
export interface Scheduler {
  upsertEndpoint(endpoint: EndpointView): void;
  removeEndpoint(endpointId: string): void;
  setConfiguration(config: ClusterConfig): void;
  enqueue(unit: WorkUnit): void;
  /** Removes a waiting unit; false if it does not wait. */
  cancel(unitId: string): boolean;
  /** Number of units that wait in a queue. */
  countWaiting(queue: string): number;
  /** Restores the reservation of an attempt that was placed under an earlier leader. */
  restore(attempt: Attempt, nowMs: number): void;
  /** Frees the reservation of an attempt; unknown attempts are ignored. */
  release(attemptId: string, outcome: AttemptOutcome, nowMs: number): void;
  /** Records the reported usage of a running attempt. */
  observe(attemptId: string, usage: Resources, nowMs: number): void;
  /**
   * Runs one scheduling cycle that places at most `maxPlacements` attempts, except that a
   * larger gang may be placed alone.
   */
  decide(nowMs: number, maxPlacements: number): Decision[];
  readStats(): SchedulerStats;
}
