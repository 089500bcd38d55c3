/** Weight of a new sample once there are enough samples. */
const MIN_SAMPLE_WEIGHT = 0.15;

/** Exponentially weighted moving average; the first samples have equal weight. */
export class MovingAverage {
  value: number;
  /** Number of samples. */
  count = 0;

  constructor(initial: number) {
    this.value = initial;
  }

  add(sample: number): void {
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / (this.count + 1));
    this.value += weight * (sample - this.value);
    this.count += 1;
  }
}
