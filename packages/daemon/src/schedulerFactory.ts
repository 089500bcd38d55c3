import { FairShareScheduler } from '@lagoongap/scheduling/fairShareScheduler.js';
import { FirstFitFifoScheduler } from '@lagoongap/scheduling/firstFitFifoScheduler.js';
import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';
import type { SizeEstimatorOptions } from '@lagoongap/scheduling/sizeEstimator.js';
import type { DaemonSettings } from '@lagoongap/settings/daemonSettings.js';

/** Fraction of the observed peaks that a reservation covers, at packing weights 0 and 1. */
const SAFE_PERCENTILE = 0.98;
const PACKED_PERCENTILE = 0.82;

/** Factor by which that percentile is multiplied, at packing weights 0 and 1. */
const SAFE_HEADROOM = 1.2;
const PACKED_HEADROOM = 1;

function interpolate(from: number, to: number, weight: number): number {
  return from + (to - from) * weight;
}

/** Returns the options of the size estimator; a larger packing weight reserves less. */
export function resolveSizeOptions(packingWeight: number): Partial<SizeEstimatorOptions> {
  return {
    percentile: interpolate(SAFE_PERCENTILE, PACKED_PERCENTILE, packingWeight),
    headroom: interpolate(SAFE_HEADROOM, PACKED_HEADROOM, packingWeight),
  };
}

/** Creates the scheduler that the settings select. */
export function createScheduler(cfg: DaemonSettings['scheduling']): Scheduler {
  if (cfg.policy === 'first-fit') return new FirstFitFifoScheduler();
  return new FairShareScheduler(Math.random, {
    halfLifeMs: cfg.usageHalfLifeMs,
    preemption: cfg.preemption,
    sizes: resolveSizeOptions(cfg.packingWeight),
  });
}
