import {
  DurationStatistics,
  evaluate,
  TRUSTED_ESTIMATE,
  type Relation,
  type StoredStatistics,
} from './durationStatistics.js';
import type { StepSpec } from './jobSpec.js';
import { nameWorkClasses, type WorkDescription } from './workClass.js';

/** Maximum number of classes; the one without a run for the longest time is removed. */
const MAX_CLASSES = 1024;

/** Maximum number of kinds of endpoints. */
const MAX_KINDS = 64;

/** Weight of steps after which the work of a class is mostly forgotten. */
const CLASS_MEMORY = 30;

/** The same for queues, all work, and kinds of endpoints. */
const GENERAL_MEMORY = 300;

/** Weight of steps that the more general relation is worth, from all work to the single class. */
const PRIOR_WEIGHTS = [6, 6, 3] as const;

/** Weight of steps that the assumption of an average speed is worth for a kind of endpoints. */
const KIND_PRIOR_WEIGHT = 2;

/** Weight of steps of a class from which its runs tell the speed of a kind. */
const MIN_CLASS_WEIGHT = 2;

/** Bounds of durations and estimates in milliseconds. */
const MIN_DURATION_MS = 1;
const MAX_DURATION_MS = 7 * 24 * 3600 * 1000;

/** Steps with more tasks count as if they had this many, so that no weight vanishes. */
const MAX_TASK_COUNT = 64;

/** Expected duration of work on an endpoint of average speed. */
export interface ExpectedDuration {
  /** Median in milliseconds. */
  medianMs: number;
  /** Standard deviation of the logarithm of the duration. */
  spread: number;
  /** Weight of the steps that were seen of the class; 0 if the class is unknown. */
  weight: number;
}

/** Serialisable form of a {@link DurationModel}. */
export interface DurationSnapshot {
  /** The class that was used last comes last. */
  classes: [name: string, statistics: StoredStatistics][];
  kinds: [name: string, statistics: StoredStatistics][];
}

function toLog(ms: number): number {
  return Math.log(Math.min(MAX_DURATION_MS, Math.max(MIN_DURATION_MS, ms)));
}

/** Returns whether neither an estimate nor a run tells anything about the work. */
function isUninformed(relation: Relation, { estimateMs }: StepSpec): boolean {
  return relation === TRUSTED_ESTIMATE && estimateMs <= 0;
}

/** Returns the statistics of a name, created if new, as the most recently used of a bounded map. */
function touch(
  map: Map<string, DurationStatistics>,
  name: string,
  memory: number,
  maxSize: number,
): DurationStatistics {
  const statistics = map.get(name) ?? new DurationStatistics(memory);
  map.delete(name);
  map.set(name, statistics);
  if (map.size > maxSize) map.delete(map.keys().next().value!);
  return statistics;
}

/** Returns the effect of a kind of endpoints, shrunk towards none. */
function toEffect(statistics: DurationStatistics): number {
  return (statistics.weight * statistics.averageWork) / (statistics.weight + KIND_PRIOR_WEIGHT);
}

function store(map: Map<string, DurationStatistics>): [string, StoredStatistics][] {
  return [...map].map(([name, statistics]) => [name, statistics.store()]);
}

/**
 * Learned relation between the submitted estimates and the work of tasks, which is their duration on
 * an endpoint of average speed. Each class of work is shrunk towards its queue, that towards all
 * work, and that towards the estimate. Deterministic, as it is part of the replicated state.
 */
export class DurationModel {
  /** All work, queues, and single classes, by name. */
  private readonly classes = new Map<string, DurationStatistics>();
  /** Speed of kinds of endpoints; the relation of their statistics has slope 0. */
  private readonly kinds = new Map<string, DurationStatistics>();
  private changeCount = 0;

  /** Number of recorded runs since the start of the process. */
  get version(): number {
    return this.changeCount;
  }

  /** Number of classes. */
  get size(): number {
    return this.classes.size;
  }

  /**
   * Records the duration of a successful run. The tasks of a step are alike; together they count as
   * much as a step of a single task.
   *
   * @param durationMs - Duration without the part that is due to the endpoint alone, not its kind.
   */
  record(work: WorkDescription, kind: string, durationMs: number): void {
    const { spec } = work;
    this.changeCount += 1;
    const logEstimate = toLog(spec.estimateMs);
    const logDuration = toLog(durationMs);
    const weight = spec.isGang ? 1 : 1 / Math.min(MAX_TASK_COUNT, Math.max(1, spec.taskCount));
    const relation = this.relate(work);
    const expected = evaluate(relation, logEstimate);
    const [all, queue, name] = nameWorkClasses(work);
    const isKnown = (this.classes.get(name)?.weight ?? 0) >= MIN_CLASS_WEIGHT;
    const own = touch(this.classes, name, CLASS_MEMORY, MAX_CLASSES);
    let logWork = logDuration - this.kindEffect(kind);
    if (!isUninformed(relation, spec)) {
      logWork = own.limit(logWork, expected, relation.variance, weight);
    }
    own.add(logEstimate, logWork, weight);
    for (const general of [all, queue]) {
      touch(this.classes, general, GENERAL_MEMORY, MAX_CLASSES).add(logEstimate, logWork, weight);
    }
    if (!isKnown) return;
    const effect = this.kindEffect(kind);
    touch(this.kinds, kind, GENERAL_MEMORY, MAX_KINDS).add(0, logWork + effect - expected, weight);
  }

  /** Returns the expected duration of a task on an endpoint of average speed. */
  expect(work: WorkDescription): ExpectedDuration {
    const relation = this.relate(work);
    const weight = this.classes.get(nameWorkClasses(work)[2])?.weight ?? 0;
    const logMs = evaluate(relation, toLog(work.spec.estimateMs));
    const medianMs = isUninformed(relation, work.spec)
      ? 0
      : Math.min(MAX_DURATION_MS, Math.exp(logMs));
    return { medianMs, spread: Math.sqrt(relation.variance), weight };
  }

  /** Returns the duration on a kind of endpoint as a multiple of the average. */
  kindFactor(kind: string): number {
    return Math.exp(this.kindEffect(kind));
  }

  snapshot(): DurationSnapshot {
    return { classes: store(this.classes), kinds: store(this.kinds) };
  }

  /** Replaces all knowledge; without a snapshot nothing is known. */
  restore(snapshot: DurationSnapshot | undefined): void {
    this.classes.clear();
    this.kinds.clear();
    for (const [name, stored] of snapshot?.classes ?? []) {
      const isSingle = name.includes('\n');
      const memory = isSingle ? CLASS_MEMORY : GENERAL_MEMORY;
      touch(this.classes, name, memory, MAX_CLASSES).load(stored);
    }
    for (const [name, stored] of snapshot?.kinds ?? []) {
      touch(this.kinds, name, GENERAL_MEMORY, MAX_KINDS).load(stored);
    }
    this.changeCount += 1;
  }

  private relate(work: WorkDescription): Relation {
    let relation = TRUSTED_ESTIMATE;
    nameWorkClasses(work).forEach((name, depth) => {
      const priorWeight = isUninformed(relation, work.spec) ? 0 : PRIOR_WEIGHTS[depth]!;
      const statistics = this.classes.get(name);
      if (statistics) relation = statistics.relate(relation, priorWeight);
    });
    return relation;
  }

  /**
   * Returns the logarithm of the duration on a kind relative to the mean of all kinds. Without the mean
   * the kinds would absorb what all classes have in common, such as estimates that are too low.
   */
  private kindEffect(kind: string): number {
    const statistics = this.kinds.get(kind);
    return statistics ? toEffect(statistics) - this.meanKindEffect() : 0;
  }

  private meanKindEffect(): number {
    let sum = 0;
    let weight = 0;
    for (const statistics of this.kinds.values()) {
      sum += toEffect(statistics) * statistics.weight;
      weight += statistics.weight;
    }
    return weight === 0 ? 0 : sum / weight;
  }
}
