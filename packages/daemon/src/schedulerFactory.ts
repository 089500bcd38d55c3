import { FirstFitFifoScheduler } from '@lagoongap/scheduling/firstFitFifoScheduler.js';
import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';
import type { DaemonSettings } from '@lagoongap/settings/daemonSettings.js';

/** Makes the scheduler of a term; attempt identifiers are unique across terms. */
export function createScheduler(_cfg: DaemonSettings['scheduling'], term: number): Scheduler {
  return new FirstFitFifoScheduler({ attemptPrefix: `${term}` });
}
