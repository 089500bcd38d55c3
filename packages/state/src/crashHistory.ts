import type { EndpointCrash, FinishedAttempt, JobRecord } from './records.js';

/** Number of crashes, as the only suspect, after which work is not started again. */
const MAX_SOLE_CRASHES = 2;

/** Number of crashes of any kind after which work is not started again. */
const MAX_CRASHES = 3;

/**
 * Returns the crashes of a unit of work after the end of an attempt. An attempt that worked for a
 * while clears the unit of earlier crashes.
 */
export function recordCrash(
  crashes: readonly EndpointCrash[] | undefined,
  finished: FinishedAttempt,
): readonly EndpointCrash[] | undefined {
  const kept = finished.hasWorked ? undefined : crashes;
  if (!finished.crash) return kept;
  return [...(kept ?? []), { ...finished.crash, attempt: finished.attempt }];
}

/** Returns the crashes of a unit of work without that of one attempt. */
export function withdrawCrash(
  crashes: readonly EndpointCrash[],
  attempt: string,
): readonly EndpointCrash[] {
  return crashes.filter((crash) => crash.attempt !== attempt);
}

/** Returns whether work crashed so many endpoints that it must not be started again. */
export function hasCrashedTooOften(crashes: readonly EndpointCrash[] = []): boolean {
  const sole = crashes.filter(({ isSole }) => isSole);
  return sole.length >= MAX_SOLE_CRASHES || crashes.length >= MAX_CRASHES;
}

/** Returns whether a unit of a job, a task or a whole gang, was present at a crash. */
export function isSuspectUnit(job: JobRecord, taskIndex: number): boolean {
  const tasks = job.spec.kind === 'gang' ? job.tasks : [job.tasks[taskIndex]];
  return tasks.some((task) => (task?.crashes?.length ?? 0) > 0);
}

/** Describes the crashes of a unit of work for its caller. */
export function describeCrashes(crashes: readonly EndpointCrash[] = []): string {
  const endpoints = crashes.map(({ endpoint }) => endpoint).join(', ');
  return `not started again, as ${crashes.length} endpoints crashed soon after its start: ${endpoints}`;
}
