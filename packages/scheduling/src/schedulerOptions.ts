import type { SizeEstimatorOptions } from './sizeEstimator.js';

/** Options of the {@link FairShareScheduler}; all times in milliseconds. */
export interface SchedulerOptions {
  /** Time over which past usage of a team counts half. */
  halfLifeMs: number;
  /** Time from the first decision during which the fleet counts as incomplete. */
  graceMs: number;
  /** Endpoints that are drawn and compared for one task in a large fleet. */
  sampleSize: number;
  /** Fleet size up to which all endpoints are compared. */
  scanSize: number;
  /** Shapes of one team and class that are looked at in a turn. */
  lookAhead: number;
  /** Time that a unit fits nowhere before capacity is reserved for it. */
  reserveAfterMs: number;
  /** Time after which a reservation is planned anew. */
  reservationMs: number;
  /** Time after which another unit gets its turn to collect capacity. */
  collectMs: number;
  /** Time that a unit of a team under its share fits nowhere before lent capacity is taken back. */
  reclaimAfterMs: number;
  /** Time that a place freed by preemption is kept for the unit it was freed for. */
  holdMs: number;
  /** Time between the steps of a preemption. */
  preemptPauseMs: number;
  /** The same for urgent work, which has to start within about two seconds. */
  urgentPauseMs: number;
  /** Time between reactions to overuse; reports lag by a few heartbeats. */
  overusePauseMs: number;
  /** Time between looks at units that fit nowhere. */
  scanIntervalMs: number;
  /** Least time between searches for all tasks of a gang. */
  gangRetryMs: number;
  /** Lets urgent work and teams under their share take back lent capacity. */
  preemption: boolean;
  /** Options of the size estimator. */
  sizes: Partial<SizeEstimatorOptions>;
}

/** Defaults of the {@link FairShareScheduler}. */
export const DEFAULT_SCHEDULER_OPTIONS: Readonly<SchedulerOptions> = {
  halfLifeMs: 600_000,
  graceMs: 10_000,
  sampleSize: 16,
  scanSize: 32,
  lookAhead: 32,
  reserveAfterMs: 5_000,
  reservationMs: 30_000,
  collectMs: 600_000,
  reclaimAfterMs: 2_000,
  holdMs: 20_000,
  preemptPauseMs: 5_000,
  urgentPauseMs: 600,
  overusePauseMs: 4_000,
  scanIntervalMs: 100,
  gangRetryMs: 20,
  preemption: true,
  sizes: {},
};
