import { FairShareScheduler } from '@lagoongap/scheduling/fairShareScheduler.js';
import { FirstFitFifoScheduler } from '@lagoongap/scheduling/firstFitFifoScheduler.js';
import { RandomScheduler } from '@lagoongap/scheduling/randomScheduler.js';
import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';

/** Names of the compared schedulers. */
export const SCHEDULER_NAMES = ['fair-share', 'first-fit', 'random'] as const;

/** Name of a compared scheduler. */
export type SchedulerName = (typeof SCHEDULER_NAMES)[number];

/** Creates a scheduler with a seeded random number generator. */
export function createScheduler(name: SchedulerName, seed: number): Scheduler {
  const random = createSeededRandom(seed);
  if (name === 'fair-share') return new FairShareScheduler(random);
  if (name === 'first-fit') return new FirstFitFifoScheduler(random);
  return new RandomScheduler(random);
}
