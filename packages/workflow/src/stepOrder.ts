import type { QueuePolicy } from './cellConfig.js';
import type { ReadyStep } from './readySteps.js';

/** Multiple of the objective up to which a job that is late is still worth something. */
const LATE_FACTOR = 3;

/** How much a job that has not ended yet can still be worth. */
export type Prospect = 'in-time' | 'late' | 'overdue';

const PROSPECT_RANKS: Record<Prospect, number> = { 'in-time': 0, late: 1, overdue: 2 };

/** A step with what its place in the order depends on. */
interface RankedStep {
  step: ReadyStep;
  priority: number;
  rank: number;
}

/** Estimated time of the longest chain of steps from `first` to the end of the job. */
export function chainMs({ job: { spec } }: ReadyStep, first: number): number {
  const ends: number[] = [];
  spec.steps.forEach(({ dependsOn, estimateMs }, step) => {
    const before = Math.max(0, ...dependsOn.map((earlier) => ends[earlier] ?? 0));
    // Steps before `first` have ended or run beside it.
    ends.push(step < first ? 0 : before + estimateMs);
  });
  return Math.max(0, ...ends);
}

/** Tells how much the job of a step can still be worth if the step starts now. */
export function judgeProspect(step: ReadyStep, queue: QueuePolicy, wallMs: number): Prospect {
  if (step.spec.isService) return 'in-time';
  const objectiveMs = chainMs(step, 0) * queue.stretch + queue.targetMs;
  const expectedMs = wallMs - step.dueMs + chainMs(step, step.step);
  if (expectedMs <= objectiveMs) return 'in-time';
  return expectedMs <= objectiveMs * LATE_FACTOR ? 'late' : 'overdue';
}

/**
 * Pattern: a burst that the fleet cannot serve in time. First come, first served would make every
 * job late, so that within a priority the jobs that can still be in time go first, then those that
 * are late but still of use; among equals the oldest.
 */
export function orderSteps(
  steps: Iterable<ReadyStep>,
  findQueue: (name: string) => QueuePolicy | undefined,
  wallMs: number,
): ReadyStep[] {
  const ranked: RankedStep[] = [];
  for (const step of steps) {
    const queue = findQueue(step.job.queue);
    ranked.push({
      step,
      priority: queue?.priority ?? Number.MAX_SAFE_INTEGER,
      rank: queue ? PROSPECT_RANKS[judgeProspect(step, queue, wallMs)] : 0,
    });
  }
  ranked.sort((a, b) => a.priority - b.priority || a.rank - b.rank || a.step.dueMs - b.step.dueMs);
  return ranked.map(({ step }) => step);
}
