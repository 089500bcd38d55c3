import type { QueuePolicy } from './cellConfig.js';
import { criticalPathMs, readSubmittedDuration, type DurationReader } from './criticalPaths.js';
import type { ReadyStep } from './readySteps.js';

/** Returns the time from its due time in which a job should complete, in milliseconds. */
export function targetDurationMs(
  step: ReadyStep,
  queue: QueuePolicy,
  readDurationMs: DurationReader = readSubmittedDuration,
): number {
  return criticalPathMs(step, 0, readDurationMs) * queue.stretch + queue.targetMs;
}

/** How a job stands if its step starts now. */
export interface SlackAssessment {
  /** Time for which the step can still wait; negative if the job will be late. */
  slackMs: number;
  /** Time from its due time in which the job should complete. */
  targetMs: number;
  /** Expected time from the start of the step to the end of the job. */
  pathMs: number;
}

/** Assesses the job of a step that is not a service. */
export function assessSlack(
  step: ReadyStep,
  queue: QueuePolicy,
  wallMs: number,
  readDurationMs: DurationReader = readSubmittedDuration,
): SlackAssessment {
  const targetMs = targetDurationMs(step, queue, readDurationMs);
  const pathMs = criticalPathMs(step, step.step, readDurationMs);
  return { slackMs: targetMs - (wallMs - step.dueMs) - pathMs, targetMs, pathMs };
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
  return assessSlack(step, queue, wallMs, readDurationMs).slackMs;
}
