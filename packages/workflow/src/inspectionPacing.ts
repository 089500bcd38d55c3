/** Longest time for which an inspection waits for a run to end. */
const MAX_WAIT_MS = 2000;

/** Wait if short tasks run, as a lost inspection delays the reports of their ends this long. */
const SHORT_WAIT_MS = 700;

/** Estimated duration up to which a task counts as short. */
const SHORT_TASK_MS = 2000;

/**
 * Number of failed inspections of a leaving endpoint that are repeated at once: each connection that
 * it closed fails one. Its instance may refuse new ones only until it is switched off.
 */
const MAX_IMMEDIATE_RETRIES = 4;

/**
 * Returns for how long an inspection may wait for a run to end, in milliseconds.
 *
 * @param isUrgent - Whether what the endpoint reports is needed soon, whatever it runs.
 */
export function chooseInspectionWaitMs(
  runs: Iterable<{ estimateMs: number; isStopping?: boolean }>,
  isUrgent: boolean,
): number {
  const waited = [...runs];
  if (waited.length === 0) return 0;
  // A run that is being stopped ends soon, whatever its estimate.
  const isShort = waited.some((run) => run.isStopping || run.estimateMs <= SHORT_TASK_MS);
  return isShort || isUrgent ? SHORT_WAIT_MS : MAX_WAIT_MS;
}

/** Returns whether the inspection of a leaving endpoint is repeated at once after failures in a row. */
export function isRetriedWhileLeaving(failures: number): boolean {
  return failures > 0 && failures <= MAX_IMMEDIATE_RETRIES;
}
