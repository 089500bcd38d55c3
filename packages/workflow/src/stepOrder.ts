import type { QueuePolicy } from './cellConfig.js';
import { criticalPathMs } from './criticalPaths.js';
import { targetDurationMs } from './jobSlack.js';
import type { ReadyStep } from './readySteps.js';

/** Multiple of the target duration up to which a late job is still useful. */
export const LATE_FACTOR = 3;

/** Expected completion of a job relative to its target duration. */
export type Timeliness = 'in-time' | 'late' | 'overdue';

const TIMELINESS_RANKS: Record<Timeliness, number> = { 'in-time': 0, late: 1, overdue: 2 };

/** Input for the ordering of steps. */
export interface OrderContext {
  findQueue: (name: string) => QueuePolicy | undefined;
  /** Returns the processor time in use by an organisation per unit of weight, in millicores. */
  readUsage: (organisation: string) => number;
  /** Unix milliseconds. */
  wallMs: number;
}

/** Base of the logarithmic usage levels; organisations on the same level count as equal. */
const EQUAL_USAGE_FACTOR = 1.5;

/** A step with its sort keys. */
interface RankedStep {
  step: ReadyStep;
  priority: number;
  timelinessRank: number;
  usageLevel: number;
}

function toUsageLevel(usage: number): number {
  return usage < 1 ? 0 : Math.floor(Math.log(usage) / Math.log(EQUAL_USAGE_FACTOR));
}

/** Returns the timeliness of the job of a step if the step starts now. */
export function assessTimeliness(step: ReadyStep, queue: QueuePolicy, wallMs: number): Timeliness {
  if (step.spec.isService) return 'in-time';
  const targetMs = targetDurationMs(step, queue);
  const expectedMs = wallMs - step.dueMs + criticalPathMs(step, step.step);
  if (expectedMs <= targetMs) return 'in-time';
  return expectedMs <= targetMs * LATE_FACTOR ? 'late' : 'overdue';
}

/**
 * Sorts steps by priority, timeliness, usage of the organisation relative to its weight, and age.
 * During a burst that exceeds the capacity, first come, first served would make every job late;
 * jobs that can still be in time therefore precede late ones, and overdue ones come last.
 * Organisations that use less of their share go first, so that a large one cannot flood the fleet.
 */
export function orderSteps(steps: Iterable<ReadyStep>, context: OrderContext): ReadyStep[] {
  const { findQueue, readUsage, wallMs } = context;
  const ranked: RankedStep[] = [];
  for (const step of steps) {
    const queue = findQueue(step.job.queue);
    ranked.push({
      step,
      priority: queue?.priority ?? Number.MAX_SAFE_INTEGER,
      timelinessRank: queue ? TIMELINESS_RANKS[assessTimeliness(step, queue, wallMs)] : 0,
      usageLevel: toUsageLevel(readUsage(step.job.organisation)),
    });
  }
  ranked.sort(
    (a, b) =>
      a.priority - b.priority ||
      a.timelinessRank - b.timelinessRank ||
      a.usageLevel - b.usageLevel ||
      a.step.dueMs - b.step.dueMs,
  );
  return ranked.map(({ step }) => step);
}
