import type { JobRecord } from './workflowRecords.js';

/** Returns the due time of an occurrence, Unix milliseconds. */
export function dueTimeMs(job: JobRecord, occurrence: number): number {
  const { schedule } = job.spec;
  return schedule ? schedule.firstMs + occurrence * schedule.intervalMs : job.acceptedMs;
}

/** Returns the number of occurrences of a job that are due. */
export function countDue(job: JobRecord, wallMs: number): number {
  const { schedule } = job.spec;
  if (!schedule) return 1;
  const { firstMs, intervalMs, count } = schedule;
  if (firstMs > wallMs) return 0;
  if (intervalMs <= 0) return count;
  let due = Math.min(count, Math.floor((wallMs - firstMs) / intervalMs) + 1);
  // The quotient may have been rounded up.
  while (dueTimeMs(job, due - 1) > wallMs) due -= 1;
  return due;
}

/** Returns the time until the first occurrence that is not due yet, if there is one. */
export function timeToNextMs(job: JobRecord, wallMs: number): number | undefined {
  const due = countDue(job, wallMs);
  const count = job.spec.schedule?.count ?? 1;
  return due < count ? dueTimeMs(job, due) - wallMs : undefined;
}
