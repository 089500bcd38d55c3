/** Fixed-point unit of all stored values, so that a snapshot restores exactly what it was taken of. */
const UNITS_PER_ONE = 10_000;

/**
 * Values of {@link DurationStatistics} in a snapshot, in 1/10,000: weight, means, (co)variances, and
 * the latest outliers.
 */
export type StoredStatistics = number[];

/** A linear relation between the logarithms of estimate and work, with the spread around it. */
export interface Relation {
  /** Logarithm of the estimate at which the relation is anchored. */
  centre: number;
  /** Expected logarithm of the work at the centre. */
  level: number;
  /** 1 if the work is proportional to the estimate, 0 if the estimate says nothing. */
  slope: number;
  /** Variance of the logarithm of the work around the relation. */
  variance: number;
}

/** Relation of estimates that nothing is known about: the work is the estimate. */
export const TRUSTED_ESTIMATE: Relation = { centre: 0, level: 0, slope: 1, variance: 0.5 };

/** Variance of estimates that the prior slope is worth, per unit of its weight. */
const PRIOR_ESTIMATE_VARIANCE = 0.3;

/** Bound for the deviation of an estimate from the mean, against the leverage of single ones. */
const MAX_ESTIMATE_DEVIATIONS = 3;
const MIN_ESTIMATE_DEVIATION = 0.7;

/** Standard deviations by which a sample may differ from what was expected before it is cut off. */
const MAX_DEVIATIONS = 2.5;
const MIN_DEVIATION = 0.3;

/**
 * Weight of outliers in a row on the same side from which the work is taken to have changed. Earlier
 * samples then count no more than this.
 */
const CHANGE_WEIGHT = 4;

function quantise(value: number): number {
  return Math.round(value * UNITS_PER_ONE) / UNITS_PER_ONE;
}

/** Returns the expected logarithm of the work for the logarithm of an estimate. */
export function evaluate({ centre, level, slope }: Relation, logEstimate: number): number {
  return level + slope * (logEstimate - centre);
}

/**
 * Decayed first and second moments of the logarithms of estimate and work. The weight of a sample
 * falls with the samples that come after it, so that they follow work that changes.
 */
export class DurationStatistics {
  /** Sum of the decayed weights of all samples; at most the memory. */
  weight = 0;
  private meanEstimate = 0;
  private meanWork = 0;
  private estimateVariance = 0;
  private covariance = 0;
  private workVariance = 0;
  /** Weight of the latest outliers in a row; negative if they were shorter than expected. */
  private outliers = 0;
  private readonly memory: number;

  /** @param memory - Weight of samples after which an earlier one has decayed to 1/e. */
  constructor(memory: number) {
    this.memory = memory;
  }

  /** Decayed mean of the logarithm of the work. */
  get averageWork(): number {
    return this.meanWork;
  }

  /** Returns the logarithm of the work of a sample as far as it is not cut off as an outlier. */
  limit(logWork: number, expected: number, variance: number, weight: number): number {
    const bound = MAX_DEVIATIONS * Math.max(MIN_DEVIATION, Math.sqrt(variance));
    const difference = logWork - expected;
    if (Math.abs(difference) <= bound) {
      this.outliers = 0;
      return logWork;
    }
    const side = Math.sign(difference);
    this.outliers = quantise(Math.max(0, this.outliers * side) + weight) * side;
    const count = Math.abs(this.outliers);
    if (count >= CHANGE_WEIGHT) {
      this.weight = Math.min(this.weight, CHANGE_WEIGHT);
      this.outliers = 0;
    }
    return expected + side * Math.min(Math.abs(difference), bound * Math.max(1, count));
  }

  /** Adds a sample of weight 0 to 1. */
  add(logEstimate: number, logWork: number, weight: number): void {
    this.weight = quantise(this.weight * (1 - weight / this.memory) + weight);
    const gain = Math.min(1, weight / this.weight);
    const estimateDelta = this.boundEstimate(logEstimate) - this.meanEstimate;
    const workDelta = logWork - this.meanWork;
    const decay = (value: number, product: number): number =>
      quantise((1 - gain) * (value + gain * product));
    this.estimateVariance = decay(this.estimateVariance, estimateDelta * estimateDelta);
    this.covariance = decay(this.covariance, estimateDelta * workDelta);
    this.workVariance = decay(this.workVariance, workDelta * workDelta);
    this.meanEstimate = quantise(this.meanEstimate + gain * estimateDelta);
    this.meanWork = quantise(this.meanWork + gain * workDelta);
  }

  /**
   * Returns the relation of the samples, shrunk towards that of a more general class.
   *
   * @param priorWeight - Weight of samples that the general relation is worth.
   */
  relate(prior: Relation, priorWeight: number): Relation {
    const { weight, meanEstimate, meanWork, estimateVariance, covariance, workVariance } = this;
    const total = weight + priorWeight;
    if (weight === 0 || total === 0) return prior;
    const slopeWeight = priorWeight * PRIOR_ESTIMATE_VARIANCE;
    const slopeTotal = weight * estimateVariance + slopeWeight;
    const slope =
      slopeTotal > 0 ? (weight * covariance + slopeWeight * prior.slope) / slopeTotal : prior.slope;
    const level = (weight * meanWork + priorWeight * evaluate(prior, meanEstimate)) / total;
    const offset = meanWork - level;
    const residual =
      workVariance - 2 * slope * covariance + slope * slope * estimateVariance + offset * offset;
    const variance = (weight * Math.max(0, residual) + priorWeight * prior.variance) / total;
    return { centre: meanEstimate, level, slope, variance };
  }

  /** Returns the values for a snapshot. */
  store(): StoredStatistics {
    const { weight, meanEstimate, meanWork, estimateVariance, covariance, workVariance } = this;
    const moments = [weight, meanEstimate, meanWork, estimateVariance, covariance, workVariance];
    const values = [...moments, this.outliers];
    return values.map((value) => Math.round(value * UNITS_PER_ONE));
  }

  /** Replaces the values by those of a snapshot. */
  load(stored: StoredStatistics): void {
    const values = stored.map((units) => units / UNITS_PER_ONE);
    [this.weight = 0, this.meanEstimate = 0, this.meanWork = 0] = values;
    [, , , this.estimateVariance = 0, this.covariance = 0, this.workVariance = 0] = values;
    this.outliers = values[6] ?? 0;
  }

  private boundEstimate(logEstimate: number): number {
    if (this.weight < MAX_ESTIMATE_DEVIATIONS) return logEstimate;
    const deviation = Math.max(MIN_ESTIMATE_DEVIATION, Math.sqrt(this.estimateVariance));
    const bound = MAX_ESTIMATE_DEVIATIONS * deviation;
    return Math.min(this.meanEstimate + bound, Math.max(this.meanEstimate - bound, logEstimate));
  }
}
