import type { JobState } from '@lagoongap/model/workload.js';

import { hasCrashedTooOften } from './crashHistory.js';
import type { FinishedAttempt, JobRecord, TaskRecord } from './records.js';
import { MAX_TASK_FAILURES } from './retention.js';

const FINAL_STATES: ReadonlySet<JobState> = new Set([
  'succeeded',
  'failed',
  'cancelled',
  'impossible',
  'unknown',
]);

/** Returns whether a job or task in this state has ended. */
export function isFinal(state: JobState): boolean {
  return FINAL_STATES.has(state);
}

function resolveFailedTaskState(job: JobRecord, task: TaskRecord): JobState {
  if (job.spec.noRepeat) return 'failed';
  if (job.spec.kind === 'service') return 'waiting';
  return task.failures >= MAX_TASK_FAILURES ? 'failed' : 'waiting';
}

/**
 * Returns the state of a task after an attempt; a failure or crash must have been counted already.
 */
export function resolveTaskState(
  job: JobRecord,
  task: TaskRecord,
  finished: FinishedAttempt,
): JobState {
  switch (finished.outcome) {
    case 'succeeded':
      if (job.spec.kind !== 'service') return 'succeeded';
      return job.cancelled ? 'cancelled' : 'waiting';
    case 'failed':
      return job.cancelled ? 'cancelled' : resolveFailedTaskState(job, task);
    case 'not-run':
    case 'checkpointed':
      return job.cancelled ? 'cancelled' : 'waiting';
    case 'stopped':
      if (job.cancelled) return 'cancelled';
      return job.spec.noRepeat ? 'failed' : 'waiting';
    default:
      if (job.spec.noRepeat) return 'unknown';
      if (job.cancelled) return 'cancelled';
      return hasCrashedTooOften(task.crashes) ? 'failed' : 'waiting';
  }
}

/** Derives the state of a job from the states of its tasks. */
export function resolveJobState(job: JobRecord): JobState {
  const states = new Set(job.tasks.map((task) => task.state));
  if (states.has('running')) return 'running';
  if (states.has('waiting')) return job.tasks.some((task) => task.attempt) ? 'running' : 'waiting';
  for (const state of ['unknown', 'failed', 'impossible', 'cancelled'] as const) {
    if (states.has(state)) return state;
  }
  return 'succeeded';
}
