import { dominantShare, type Resources } from '@lagoongap/model/resources.js';

import type { AgedSteps } from './agedSteps.js';
import type { DurationReader } from './criticalPaths.js';
import { assessSlack } from './jobSlack.js';
import type { ReadyStep } from './readySteps.js';
import { LATE_FACTOR, type OrderContext } from './stepOrder.js';

/** Input for the order by slack. */
export interface SlackOrderContext extends OrderContext {
  /** Returns the dominant share of an organisation in the capacity, divided by its weight. */
  readUsage: OrderContext['readUsage'];
  readWeight: (organisation: string) => number;
  readDurationMs: DurationReader;
  /** Capacity of all endpoints. */
  capacity: Resources;
  aged: AgedSteps;
  /** Monotonic time. */
  nowMs: number;
}

/** Smallest share and demand that are told apart. */
const MIN_SHARE = 1e-4;
const MIN_DEMAND_MS = 1e-3;

/** Weight of the share of an organisation against the demand of a step, on a log scale. */
const SHARE_WEIGHT = 0.5;

/**
 * Bands by which the step of a late job is put back. It still precedes steps that need more than four
 * times as much, as it can be of use sooner.
 */
const LATE_BANDS = 2;

/** A step with its sort keys. */
interface RankedStep {
  step: ReadyStep;
  name: string;
  priority: number;
  /** Time after which the end of its job is of no use to the caller; Infinity if there is none. */
  usefulMs: number;
  isUseful: boolean;
  /** Part of the band that does not depend on the share of the organisation. */
  ownBands: number;
  band: number;
  slackMs: number;
}

/** Returns the part of the capacity that the waiting tasks of a step need. */
function neededShare({ spec, waiting }: ReadyStep, capacity: Resources): number {
  return waiting.length * dominantShare(spec.size, capacity);
}

function rank(step: ReadyStep, context: SlackOrderContext): RankedStep {
  const { findQueue, readDurationMs, wallMs, capacity } = context;
  const queue = findQueue(step.job.queue);
  const { name } = step;
  const priority = queue?.priority ?? Number.MAX_SAFE_INTEGER;
  if (!queue || step.spec.isService) {
    const keys = { isUseful: true, ownBands: 0, band: 0, slackMs: step.dueMs - wallMs };
    return { step, name, priority, usefulMs: Infinity, ...keys };
  }
  const { slackMs, targetMs, pathMs } = assessSlack(step, queue, wallMs, readDurationMs);
  const usefulMs = targetMs * LATE_FACTOR;
  const isUseful = slackMs >= targetMs - usefulMs;
  const demandMs = Math.max(MIN_DEMAND_MS, neededShare(step, capacity) * pathMs);
  // Of work that is of no use any more, the oldest goes first.
  const ownBands = isUseful ? Math.log2(demandMs) + (slackMs < 0 ? LATE_BANDS : 0) : 0;
  return { step, name, priority, usefulMs, isUseful, ownBands, band: ownBands, slackMs };
}

function compare(a: RankedStep, b: RankedStep): number {
  return (
    a.priority - b.priority ||
    Number(b.isUseful) - Number(a.isUseful) ||
    a.band - b.band ||
    a.slackMs - b.slackMs
  );
}

/**
 * Completes the bands by the shares of the organisations. A step counts with what its organisation
 * would use once those of its steps have started that precede it, so that many steps that arrive at
 * once do not all count with the share of before.
 */
function addShares(sorted: RankedStep[], context: SlackOrderContext): void {
  const pending = new Map<string, number>();
  for (const it of sorted) {
    const { organisation } = it.step.job;
    const before = pending.get(organisation) ?? context.readUsage(organisation);
    const needed = neededShare(it.step, context.capacity) / context.readWeight(organisation);
    pending.set(organisation, before + needed);
    it.band = Math.floor(it.ownBands + SHARE_WEIGHT * Math.log2(Math.max(MIN_SHARE, before)));
  }
}

/**
 * Sorts steps by priority and bands, within a band by slack. A step is in an earlier band if it needs
 * less of the capacity, if its organisation has used less of its share, and if its job can still be in
 * time; a band is a factor of two in demand or of four in the share. During a burst that exceeds the
 * capacity more jobs are in time this way than by slack alone, which starts jobs when it is almost too
 * late for them. Jobs that are too late to be of use come last, the oldest first, but one step of each
 * priority that has waited for too long precedes all others.
 */
export function orderBySlack(steps: Iterable<ReadyStep>, context: SlackOrderContext): ReadyStep[] {
  const ranked: RankedStep[] = [];
  for (const step of steps) ranked.push(rank(step, context));
  const first = context.aged.choose(ranked, context.nowMs);
  const isFirst = ({ name }: RankedStep): number => (first.has(name) ? 0 : 1);
  ranked.sort(compare);
  addShares(ranked, context);
  ranked.sort((a, b) => a.priority - b.priority || isFirst(a) - isFirst(b) || compare(a, b));
  return ranked.map(({ step }) => step);
}
