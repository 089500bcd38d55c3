import type { QueuePolicy } from './cellConfig.js';
import type { ReadyStep } from './readySteps.js';

/** Returns the expected duration of one task of a step in milliseconds, on an average endpoint. */
export type DurationReader = (step: ReadyStep, index: number) => number;

/** Reads the durations that callers have submitted. */
export const readSubmittedDuration: DurationReader = ({ job: { spec } }, index) =>
  spec.steps[index]!.estimateMs;

/** Returns the expected length of the critical path from `firstStep` to the end of the job. */
export function criticalPathMs(
  step: ReadyStep,
  firstStep: number,
  readDurationMs: DurationReader = readSubmittedDuration,
): number {
  const ends: number[] = [];
  step.job.spec.steps.forEach(({ dependsOn }, index) => {
    const startMs = Math.max(0, ...dependsOn.map((earlier) => ends[earlier] ?? 0));
    // Earlier steps have ended or run in parallel.
    ends.push(index < firstStep ? 0 : startMs + readDurationMs(step, index));
  });
  return Math.max(0, ...ends);
}

/** Returns the time from its due time in which a job should complete, in milliseconds. */
export function targetDurationMs(
  step: ReadyStep,
  queue: QueuePolicy,
  readDurationMs: DurationReader = readSubmittedDuration,
): number {
  return criticalPathMs(step, 0, readDurationMs) * queue.stretch + queue.targetMs;
}

/**
 * Returns the time for which a step can still wait so that its job completes in time, in
 * milliseconds; negative if the job will be late. Services have no target duration: Infinity.
 *
 * @param wallMs - Present time, Unix milliseconds.
 */
export function slackMs(
  step: ReadyStep,
  queue: QueuePolicy,
  wallMs: number,
  readDurationMs: DurationReader = readSubmittedDuration,
): number {
  if (step.spec.isService) return Infinity;
  const endMs = wallMs - step.dueMs + criticalPathMs(step, step.step, readDurationMs);
  return targetDurationMs(step, queue, readDurationMs) - endMs;
}
