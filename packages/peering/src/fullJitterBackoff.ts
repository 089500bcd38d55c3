/** Delay limit of the first retry. */
const BASE_MS = 50;

/** Largest delay; below the silence bound, so that a returning peer is found within it. */
const MAX_MS = 1000;

/** Delays of consecutive retries, drawn evenly between zero and a limit that doubles. */
export class FullJitterBackoff {
  private attempts = 0;

  /** Returns the delay before the next retry in milliseconds. */
  nextDelayMs(): number {
    const limit = Math.min(MAX_MS, BASE_MS * 2 ** this.attempts);
    this.attempts += 1;
    return Math.random() * limit;
  }

  /** Starts again with short delays, after a success. */
  reset(): void {
    this.attempts = 0;
  }
}
