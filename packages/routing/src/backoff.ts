/** Settings of a {@link Backoff}. */
export interface BackoffOptions {
  /** Upper limit of the first delay, in milliseconds. */
  baseMs: number;
  /** Upper limit of any delay, in milliseconds. */
  maxMs: number;
  /** Source of jitter, in [0, 1). */
  random: () => number;
}

/** Computes exponential delays with full jitter. */
export class Backoff {
  private readonly opts: BackoffOptions;
  private attempts = 0;

  constructor(opts: Partial<BackoffOptions> = {}) {
    this.opts = { baseMs: 50, maxMs: 5000, random: Math.random, ...opts };
  }

  /** Returns the delay before the next attempt, in milliseconds. */
  nextDelayMs(): number {
    const { baseMs, maxMs, random } = this.opts;
    const boundMs = Math.min(maxMs, baseMs * 2 ** this.attempts);
    this.attempts += 1;
    return random() * boundMs;
  }

  /** Resets the delay to its first value, after a success. */
  reset(): void {
    this.attempts = 0;
  }
}
