import type { SizeEstimatorOptions } from './sizeEstimator.js';

/** Options of the {@link FairShareScheduler}; all times in milliseconds. */
export interface SchedulerOptions {
  /** Half-life of the past usage of a team. */
  halfLifeMs: number;
  /** Time after the first scheduling cycle during which the fleet counts as incomplete. */
  graceMs: number;
  /** Endpoints that are sampled for one task in a large fleet. */
  sampleSize: number;
  /** Fleet size up to which all endpoints are compared. */
  fullScanThreshold: number;
  /** Shapes of one team and priority class that are tried in a scheduling cycle. */
  lookAhead: number;
  /** Time for which a unit must have fitted nowhere before capacity is reserved for it. */
  reserveAfterMs: number;
  /** Time after which the holds of a reservation expire and are planned again. */
  reservationHoldMs: number;
  /** Time after which a reservation ends, so that another unit can reserve capacity. */
  maxReservationMs: number;
  /** Time for which a unit of a team under its share waits before lent capacity is reclaimed. */
  reclaimAfterMs: number;
  /** Time for which capacity freed by preemption is held for the unit it was freed for. */
  preemptionHoldMs: number;
  /** Interval between the steps of a preemption. */
  preemptStepIntervalMs: number;
  /** Interval between the steps for urgent work, which must start within about two seconds. */
  urgentStepIntervalMs: number;
  /** Interval between reactions to overuse; usage reports lag by a few heartbeats. */
  overuseStepIntervalMs: number;
  /** Interval between preemption and reservation planning for units that fit nowhere. */
  contentionScanIntervalMs: number;
  /** Minimum interval between searches for the placement of a gang. */
  gangRetryIntervalMs: number;
  /** Enables preemption for urgent work and for teams under their share. */
  preemption: boolean;
  /** Options of the size estimator. */
  sizes: Partial<SizeEstimatorOptions>;
}

/** Defaults of the {@link FairShareScheduler}. */
export const DEFAULT_SCHEDULER_OPTIONS: Readonly<SchedulerOptions> = {
  halfLifeMs: 600_000,
  graceMs: 10_000,
  sampleSize: 16,
  fullScanThreshold: 32,
  lookAhead: 32,
  reserveAfterMs: 5_000,
  reservationHoldMs: 30_000,
  maxReservationMs: 600_000,
  reclaimAfterMs: 2_000,
  preemptionHoldMs: 20_000,
  preemptStepIntervalMs: 5_000,
  urgentStepIntervalMs: 600,
  overuseStepIntervalMs: 4_000,
  contentionScanIntervalMs: 100,
  gangRetryIntervalMs: 20,
  preemption: true,
  sizes: {},
};
