import { FairShareScheduler } from '@lagoongap/scheduling/fairShareScheduler.js';
import { FirstFitFifoScheduler } from '@lagoongap/scheduling/firstFitFifoScheduler.js';
import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';
import type { DaemonSettings } from '@lagoongap/settings/daemonSettings.js';

/** Makes the scheduler that the settings name. */
export function createScheduler(cfg: DaemonSettings['scheduling']): Scheduler {
  if (cfg.policy === 'first-fit') return new FirstFitFifoScheduler();
  return new FairShareScheduler(Math.random, { halfLifeMs: cfg.usageHalfLifeMs });
}
