import type { QueuePolicy } from './cellConfig.js';
import type { DurationReader } from './criticalPaths.js';
import { slackMs, targetDurationMs } from './jobSlack.js';
import type { ReadyStep } from './readySteps.js';

/** Latest start times of a step; monotonic, constant while the step waits. */
export interface StepUrgency {
  /** Latest start with which the job completes in time. */
  latestStartMs: number;
  /** Latest start with which the completion of the job still has some value. */
  latestUsefulStartMs: number;
}

/** Multiple of the target duration up to which the completion of a job has some value. */
const LATE_FACTOR = 3;

/**
 * Returns the latest start times of a step. A service has no target duration; its tasks should run
 * within the additional target of the queue from now on.
 */
export function readUrgency(
  step: ReadyStep,
  queue: QueuePolicy,
  readDurationMs?: DurationReader,
): StepUrgency {
  const nowMs = performance.now();
  if (step.spec.isService) {
    return { latestStartMs: nowMs + queue.targetMs, latestUsefulStartMs: Infinity };
  }
  const latestStartMs = nowMs + slackMs(step, queue, Date.now(), readDurationMs);
  const extraMs = (LATE_FACTOR - 1) * targetDurationMs(step, queue, readDurationMs);
  return { latestStartMs, latestUsefulStartMs: latestStartMs + extraMs };
}

/**
 * Compares two steps that can start at `startMs`: negative if `a` goes first. Steps that can be in
 * time precede late ones, and those whose completion has no more value come last; among equals the
 * one with the least slack goes first.
 */
export function compareUrgency(a: StepUrgency, b: StepUrgency, startMs: number): number {
  const isLate = (it: StepUrgency): number => Number(startMs > it.latestStartMs);
  const isUseless = (it: StepUrgency): number => Number(startMs > it.latestUsefulStartMs);
  return (
    isLate(a) + isUseless(a) - isLate(b) - isUseless(b) || a.latestStartMs - b.latestStartMs || 0
  );
}
