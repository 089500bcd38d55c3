/** Clock divergence that indicates a suspension or a step of the system clock. */
const MAX_CLOCK_DIVERGENCE_MS = 150;

/**
 * Detects a suspension of the process: the monotonic clock stops while the system clock advances.
 * For a while afterwards, state whose validity relies on the monotonic clock must not be used.
 */
export class SuspensionDetector {
  private offsetMs = Date.now() - performance.now();
  private unreliableUntilMs = 0;
  private readonly recoveryMs: number;

  /**
   * @param recoveryMs - Time after a suspension by which all such state has been renewed.
   */
  constructor(recoveryMs: number) {
    this.recoveryMs = recoveryMs;
  }

  /** Returns whether state that relies on the monotonic clock may be used at present. */
  isClockReliable(): boolean {
    const nowMs = performance.now();
    const offsetMs = Date.now() - nowMs;
    if (Math.abs(offsetMs - this.offsetMs) > MAX_CLOCK_DIVERGENCE_MS) {
      this.unreliableUntilMs = nowMs + this.recoveryMs;
    }
    this.offsetMs = offsetMs;
    return nowMs >= this.unreliableUntilMs;
  }
}
