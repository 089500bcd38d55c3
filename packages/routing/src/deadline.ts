/** Longest wait that a timer of the runtime can hold, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** A point on the monotonic clock by which something must be done. */
export class Deadline {
  /** Monotonic time in milliseconds. */
  readonly endsAtMs: number;

  constructor(afterMs: number) {
    this.endsAtMs = performance.now() + afterMs;
  }

  /** Time left in milliseconds, never negative. */
  remainingMs(): number {
    return Math.max(0, this.endsAtMs - performance.now());
  }

  /** Tells whether the deadline has passed. */
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
