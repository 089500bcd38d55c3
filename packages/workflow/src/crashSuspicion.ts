/** A run that was on an endpoint when it crashed. */
export interface CrashWitness {
  key: string;
  /** Time from the start of the run to the crash in milliseconds. */
  exposureMs: number;
  /** Number of crashes that the task may have caused before. */
  priorCrashes: number;
}

/** Added to the exposure, as the moment of a crash is not known exactly. */
const EXPOSURE_MARGIN_MS = 50;

/** Exposure of a run that is as likely as a failure of the endpoint itself. */
const INDIFFERENT_EXPOSURE_MS = 1000;

/** Weight of each earlier crash relative to none. */
const PRIOR_CRASH_WEIGHT = 3;

/**
 * Estimates for each run the probability that it caused the crash. Runs that started shortly before
 * it and those with earlier crashes are more likely. The rest up to 1 is the probability that none
 * of them did.
 */
export function estimateSuspicion(witnesses: CrashWitness[]): Map<string, number> {
  const weights = witnesses.map(
    ({ exposureMs, priorCrashes }) =>
      (1 + PRIOR_CRASH_WEIGHT * priorCrashes) / (Math.max(0, exposureMs) + EXPOSURE_MARGIN_MS),
  );
  const total = weights.reduce((sum, weight) => sum + weight, 1 / INDIFFERENT_EXPOSURE_MS);
  return new Map(witnesses.map(({ key }, index) => [key, weights[index]! / total]));
}
