import type { JobSpec } from './jobSpec.js';
import type { ReadyStep } from './readySteps.js';

/** Returns the expected duration of one task of a step in milliseconds, on an average endpoint. */
export type DurationReader = (step: ReadyStep, index: number) => number;

/** Reads the durations that callers have submitted, which never change. */
export const readSubmittedDuration: DurationReader = ({ job: { spec } }, index) =>
  spec.steps[index]!.estimateMs;

/** Maximum age of the critical paths of a job with durations that change. */
const MAX_AGE_MS = 250;

interface CachedPaths {
  /** Monotonic time. */
  computedMs: number;
  /** Length of the longest path among the steps from each number on. */
  lengthsMs: Float64Array;
}

/** Computes the critical paths from all steps of a job, in time linear in its dependencies. */
function computeLengths(step: ReadyStep, readDurationMs: DurationReader): Float64Array {
  const { steps } = step.job.spec;
  // Dependencies precede their step, so that a path only leads to higher numbers.
  const lengthsMs = new Float64Array(steps.length + 1);
  const afterMs = new Float64Array(steps.length);
  for (let index = steps.length - 1; index >= 0; index -= 1) {
    const pathMs = readDurationMs(step, index) + afterMs[index]!;
    for (const earlier of steps[index]!.dependsOn) {
      afterMs[earlier] = Math.max(afterMs[earlier]!, pathMs);
    }
    lengthsMs[index] = Math.max(lengthsMs[index + 1]!, pathMs);
  }
  return lengthsMs;
}

/**
 * Critical paths of jobs. They are needed for each waiting step in each scheduling cycle, and are
 * computed once for all steps of a job: a job may have a thousand of them.
 */
class CriticalPaths {
  private readonly readDurationMs: DurationReader;
  private readonly maxAgeMs: number;
  private readonly cache = new WeakMap<JobSpec, CachedPaths>();

  constructor(readDurationMs: DurationReader, maxAgeMs: number) {
    this.readDurationMs = readDurationMs;
    this.maxAgeMs = maxAgeMs;
  }

  /** Returns the length of the critical path from a step to the end of the job, in milliseconds. */
  lengthMs(step: ReadyStep, firstStep: number): number {
    const { spec } = step.job;
    const nowMs = performance.now();
    const cached = this.cache.get(spec);
    if (cached && nowMs - cached.computedMs <= this.maxAgeMs) return cached.lengthsMs[firstStep]!;
    const lengthsMs = computeLengths(step, this.readDurationMs);
    this.cache.set(spec, { computedMs: nowMs, lengthsMs });
    return lengthsMs[firstStep]!;
  }
}

const SUBMITTED_PATHS = new CriticalPaths(readSubmittedDuration, Infinity);
const pathsByReader = new WeakMap<DurationReader, CriticalPaths>();

function pathsOf(readDurationMs: DurationReader): CriticalPaths {
  if (readDurationMs === readSubmittedDuration) return SUBMITTED_PATHS;
  const known = pathsByReader.get(readDurationMs);
  if (known) return known;
  const created = new CriticalPaths(readDurationMs, MAX_AGE_MS);
  pathsByReader.set(readDurationMs, created);
  return created;
}

/**
 * Returns the expected length of the critical path from `firstStep` to the end of the job.
 *
 * @param readDurationMs - The same function for all jobs, so that their paths are computed once.
 */
export function criticalPathMs(
  step: ReadyStep,
  firstStep: number,
  readDurationMs: DurationReader = readSubmittedDuration,
): number {
  return pathsOf(readDurationMs).lengthMs(step, firstStep);
}
