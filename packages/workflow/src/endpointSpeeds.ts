/** Variance of the logarithm of the durations of the tasks of one step on equal endpoints. */
const TASK_VARIANCE = 0.04;

/** Variance of the speed of endpoints of the same kind, on a log scale; factors of 0.7 to 1.7. */
const ENDPOINT_VARIANCE = 0.06;

/** Maximum precision of the speed of an endpoint; about eight runs that can be compared well. */
const MAX_PRECISION = 200;

/** Variance of an expectation from which a run tells nothing about its endpoint. */
const MAX_REFERENCE_VARIANCE = 0.25;

/** Bound for the deviation of a single run, against outliers. */
const MAX_DEVIATION = 2;

/**
 * Effect up to which endpoints of a kind count as equally fast. Without it work concentrates on the
 * one that has been measured a little faster, or not at all, and much is lost when that one fails.
 */
const NEGLIGIBLE_EFFECT = 0.1;

/** Maximum number of steps whose runs are remembered. */
const MAX_STEPS = 2048;

/** Maximum number of endpoints; the one without a run for the longest time is forgotten. */
const MAX_ENDPOINTS = 4096;

/** Logarithm of an expected duration, and its variance. */
export interface LogExpectation {
  logMs: number;
  variance: number;
}

interface Effect {
  value: number;
  precision: number;
}

/**
 * Speed of single endpoints relative to their kind. The tasks of a step are alike, so the runs of a
 * step are compared with each other; the first one is compared with what its class has taken. Kept by
 * the leader only: an endpoint that has become slow is noticed again within a few runs.
 */
export class EndpointSpeeds {
  private readonly effects = new Map<string, Effect>();
  /** Mean logarithm of the work of the ended runs of a step. */
  private readonly steps = new Map<string, { count: number; mean: number }>();
  private effectSum = 0;

  /** Returns what is expected of a run once other runs of the step have ended. */
  refine(step: string, expected: LogExpectation): LogExpectation {
    const known = this.steps.get(step);
    if (!known) return expected;
    const precision = known.count / TASK_VARIANCE;
    const priorPrecision = 1 / Math.max(TASK_VARIANCE, expected.variance);
    const total = precision + priorPrecision;
    const logMs = (known.mean * precision + expected.logMs * priorPrecision) / total;
    return { logMs, variance: TASK_VARIANCE + 1 / total };
  }

  /**
   * Records a run.
   *
   * @param logMs - Logarithm of its duration, divided by the speed factor of the kind of endpoint.
   * @returns Logarithm of the duration without the effect of the endpoint.
   */
  record(endpoint: string, step: string, logMs: number, expected: LogExpectation): number {
    const reference = this.refine(step, expected);
    const deviation = logMs - reference.logMs;
    const bounded = Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, deviation));
    if (reference.variance <= MAX_REFERENCE_VARIANCE) {
      this.update(endpoint, bounded, 1 / (TASK_VARIANCE + reference.variance));
    }
    const logWork = logMs - this.effectOf(endpoint);
    const known = this.steps.get(step) ?? { count: 0, mean: 0 };
    known.count += 1;
    known.mean += (logWork - known.mean) / known.count;
    this.steps.set(step, known);
    if (this.steps.size > MAX_STEPS) this.steps.delete(this.steps.keys().next().value!);
    return logWork;
  }

  /** Returns the duration on an endpoint as a multiple of that on its kind; 1 if about equal. */
  factorOf(endpoint: string): number {
    const effect = this.effectOf(endpoint);
    return Math.abs(effect) <= NEGLIGIBLE_EFFECT ? 1 : Math.exp(effect);
  }

  /** Returns the effect of an endpoint relative to the mean of all. */
  private effectOf(endpoint: string): number {
    const effect = this.effects.get(endpoint);
    return effect ? effect.value - this.effectSum / this.effects.size : 0;
  }

  private update(endpoint: string, deviation: number, precision: number): void {
    const effect = this.effects.get(endpoint) ?? { value: 0, precision: 1 / ENDPOINT_VARIANCE };
    const total = effect.precision + precision;
    const change = ((deviation - effect.value) * precision) / total;
    effect.value += change;
    effect.precision = Math.min(MAX_PRECISION, total);
    this.effectSum += change;
    this.effects.delete(endpoint);
    this.effects.set(endpoint, effect);
    if (this.effects.size <= MAX_ENDPOINTS) return;
    const [oldest, { value }] = this.effects.entries().next().value!;
    this.effectSum -= value;
    this.effects.delete(oldest);
  }
}
