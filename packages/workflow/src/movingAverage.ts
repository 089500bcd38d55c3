/** Weight of a new sample once there are enough of them. */
const SAMPLE_WEIGHT = 0.15;

/** Exponentially weighted average; the first samples count alike. */
export class MovingAverage {
  /** Present value. */
  value: number;
  /** Samples so far. */
  count = 0;

  constructor(initial: number) {
    this.value = initial;
  }

  /** Takes up a sample. */
  add(sample: number): void {
    const weight = Math.max(SAMPLE_WEIGHT, 1 / (this.count + 1));
    this.value += weight * (sample - this.value);
    this.count += 1;
  }
}
