import type { QueuePolicy } from './cellConfig.js';
import type { ReadyStep } from './readySteps.js';

/** Multiple of the objective up to which a job that is late is still worth something. */
const LATE_FACTOR = 3;

/** How much a job that has not ended yet can still be worth. */
export type Prospect = 'in-time' | 'late' | 'overdue';

const PROSPECT_RANKS: Record<Prospect, number> = { 'in-time': 0, late: 1, overdue: 2 };

/** What is known of a queue or an organisation when steps are ordered. */
export interface OrderContext {
  findQueue: (name: string) => QueuePolicy | undefined;
  /** Processor time in use by an organisation per unit of its weight, in thousandths of a core. */
  readUse: (organisation: string) => number;
  /** Unix milliseconds. */
  wallMs: number;
}

/** Organisations whose use per weight differs by less than this factor count as equal. */
const EQUAL_USE_FACTOR = 1.5;

/** A step with what its place in the order depends on. */
interface RankedStep {
  step: ReadyStep;
  priority: number;
  rank: number;
  useLevel: number;
}

function toLevel(use: number): number {
  return use < 1 ? 0 : Math.floor(Math.log(use) / Math.log(EQUAL_USE_FACTOR));
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
 * Patterns: a burst that the fleet cannot serve in time, and a large organisation that floods it.
 * First come, first served would make every job late, so that within a priority the jobs that can
 * still be in time go first, then those that are late but still of use. Among equals the
 * organisation goes first that uses less of its share, then the oldest job.
 */
export function orderSteps(steps: Iterable<ReadyStep>, context: OrderContext): ReadyStep[] {
  const { findQueue, readUse, wallMs } = context;
  const ranked: RankedStep[] = [];
  for (const step of steps) {
    const queue = findQueue(step.job.queue);
    ranked.push({
      step,
      priority: queue?.priority ?? Number.MAX_SAFE_INTEGER,
      rank: queue ? PROSPECT_RANKS[judgeProspect(step, queue, wallMs)] : 0,
      useLevel: toLevel(readUse(step.job.organisation)),
    });
  }
  ranked.sort(
    (a, b) =>
      a.priority - b.priority ||
      a.rank - b.rank ||
      a.useLevel - b.useLevel ||
      a.step.dueMs - b.step.dueMs,
  );
  return ranked.map(({ step }) => step);
}
