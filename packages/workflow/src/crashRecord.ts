import type { CrashHistory, CrashSeries } from './workflowRecords.js';

/** Evidence that the endpoint of a run crashed while the run was on it. */
export interface CrashEvidence {
  /** Estimated probability that the run caused the crash, 0 to 1. */
  suspicion: number;
  /** Time from the start of the run to the crash in milliseconds; absent if it is not known. */
  exposureMs?: number;
  /** It came so soon after the confirmed start of the run that it is hardly by chance. */
  isPrompt: boolean;
  /** The run was in quarantine, so that nothing else explains the crash. */
  isSoleCause: boolean;
  /**
   * Another cause is likely: several endpoints failed at the same moment, as in a power loss, or so
   * many fail at random that one is to be expected in the time for which the run was on it.
   */
  isExcused: boolean;
  /**
   * Instance that crashed. Absent if random failures alone may well explain the crash, and in logs
   * of earlier releases.
   */
  instance?: string;
}

/** Time from the start of a run to a crash up to which the crash counts as prompt. */
export const PROMPT_CRASH_MS = 1000;

/** Number of latest runs whose crash is remembered, so that it is not counted again. */
const MAX_RUNS = 8;

/** Exposure that is assumed where it is not known. */
const DEFAULT_EXPOSURE_MS = 300;

/** Number of prompt crashes that convict, the last of them in quarantine. */
const PROMPT_CRASH_LIMIT = 2;

/** Number of crashes that convict, one of them in quarantine. */
const CRASH_LIMIT = 3;

/**
 * Number of crashes in a series that convict. It holds whatever excuses the single crashes, as no
 * other cause follows a task from instance to instance.
 */
const SERIES_LIMIT = 5;

/** How much two exposures may differ: by a ratio, and by a time in milliseconds besides. */
interface ExposureTolerance {
  ratio: number;
  marginMs: number;
}

/** Tolerance within which the same cause is likely; a silent endpoint is noticed late. */
const SIMILAR: ExposureTolerance = { ratio: 1.5, marginMs: 200 };

/** Tolerance within which the cause of several crashes at one moment is told apart. */
export const EQUAL: ExposureTolerance = { ratio: 1.2, marginMs: 50 };

/** Suspicion from which a task runs in quarantine after its first crash. */
export const MIN_SUSPICION = 0.05;

/** Multiple of the exposure after which a run is unlikely to crash its endpoint. */
const TRIAL_FACTOR = 2;

/** Added to this time, for the delay with which a crash is noticed. */
const TRIAL_MARGIN_MS = 300;

/** Returns the time without a crash after which a suspected run is considered harmless. */
export function harmlessAfterMs(exposureMs: number): number {
  return exposureMs * TRIAL_FACTOR + TRIAL_MARGIN_MS;
}

/** Returns whether two crashes came about equally late after the starts of their runs. */
export function isAsLate(
  exposureMs: number,
  earlierMs: number,
  { ratio, marginMs }: ExposureTolerance = SIMILAR,
): boolean {
  return exposureMs <= earlierMs * ratio + marginMs && exposureMs >= earlierMs / ratio - marginMs;
}

/** Returns a series of crashes with one more, or a new series if that came earlier or later. */
function extendSeries(
  series: CrashSeries | undefined,
  { exposureMs, instance }: CrashEvidence,
): CrashSeries | undefined {
  if (exposureMs === undefined || instance === undefined) return series;
  if (!series || !isAsLate(exposureMs, series.exposureMs)) {
    return { exposureMs, instance, count: 1 };
  }
  // An instance may keep crashing by itself under a task that has to return to it.
  const count = series.count + (instance === series.instance ? 0 : 1);
  return { exposureMs, instance, count };
}

/** Returns the crashes of a task with those of one more run. */
export function addCrash(
  history: CrashHistory | undefined,
  run: number,
  evidence: CrashEvidence,
): CrashHistory {
  if (history?.runs.includes(run)) return history;
  const { suspicion, exposureMs, isPrompt, isSoleCause, isExcused } = evidence;
  // A run that was harmless for long enough clears the task of what came before.
  const isCleared = history && (exposureMs ?? 0) > harmlessAfterMs(history.exposureMs);
  const known = isCleared ? undefined : history;
  const counts = isExcused ? 0 : 1;
  const exposure = exposureMs ?? known?.exposureMs ?? DEFAULT_EXPOSURE_MS;
  return {
    runs: [...(history?.runs ?? []), run].sort((a, b) => a - b).slice(-MAX_RUNS),
    count: (known?.count ?? 0) + counts,
    soleCount: (known?.soleCount ?? 0) + (isSoleCause ? counts : 0),
    promptCount: (known?.promptCount ?? 0) + (isPrompt ? counts : 0),
    suspicion: Math.max(known?.suspicion ?? 0, suspicion),
    exposureMs: known && known.suspicion > suspicion ? known.exposureMs : exposure,
    series: extendSeries(history?.series, evidence),
  };
}

/** Returns whether a task may crash the next endpoint as well, so that it runs in quarantine. */
export function isSuspected(history: CrashHistory | undefined): boolean {
  return history !== undefined && (history.suspicion >= MIN_SUSPICION || history.runs.length >= 2);
}

/** Returns whether the task itself must be the cause of its crashes, so that its job fails. */
export function isConvicted({ count, soleCount, promptCount, series }: CrashHistory): boolean {
  if (series && series.count >= SERIES_LIMIT) return true;
  return soleCount > 0 && (promptCount >= PROMPT_CRASH_LIMIT || count >= CRASH_LIMIT);
}
