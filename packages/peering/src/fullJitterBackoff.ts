/** Upper bound of the first delay. */
const BASE_DELAY_MS = 50;

/**
 * Upper bound of all delays. It is below the idle timeout of a connection, so that a peer that is
 * reachable again is reconnected within that time.
 */
const MAX_DELAY_MS = 1000;

/**
 * Exponential backoff with full jitter: each delay is drawn uniformly between zero and an upper
 * bound that doubles with every retry.
 */
export class FullJitterBackoff {
  private attempts = 0;

  /** Returns the delay before the next retry. */
  nextDelayMs(): number {
    const limitMs = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** this.attempts);
    this.attempts += 1;
    return Math.random() * limitMs;
  }

  /** Returns to the initial delay after a successful attempt. */
  reset(): void {
    this.attempts = 0;
  }
}
