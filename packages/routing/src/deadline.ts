/** Longest delay that a Node.js timer supports, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** A deadline on the monotonic clock. */
export class Deadline {
  /** Monotonic time in milliseconds. */
  readonly endsAtMs: number;

  constructor(afterMs: number) {
    this.endsAtMs = performance.now() + afterMs;
  }

  /** Returns the remaining time in milliseconds, never negative. */
  remainingMs(): number {
    return Math.max(0, this.endsAtMs - performance.now());
  }

  /** Returns whether the deadline has passed. */
  hasPassed(): boolean {
    return performance.now() >= this.endsAtMs;
  }

  /**
   * Calls `listener` once the deadline has passed.
   *
   * @returns function that cancels the call.
   */
  onPassed(listener: () => void): () => void {
    let timer: NodeJS.Timeout;
    const arm = () => {
      // A timer may fire up to a millisecond early.
      const waitMs = Math.min(Math.ceil(this.remainingMs()), MAX_TIMER_MS);
      timer = setTimeout(() => (this.hasPassed() ? listener() : arm()), waitMs);
    };
    arm();
    return () => clearTimeout(timer);
  }
}
