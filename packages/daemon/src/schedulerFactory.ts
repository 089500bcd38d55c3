import { FirstFitFifoScheduler } from '@lagoongap/scheduling/firstFitFifoScheduler.js';
import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';
import type { DaemonSettings } from '@lagoongap/settings/daemonSettings.js';

/** Makes the scheduler that the settings name. */
export function createScheduler(_cfg: DaemonSettings['scheduling']): Scheduler {
  return new FirstFitFifoScheduler();
}
