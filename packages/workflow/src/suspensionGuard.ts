/** Difference between the two clocks that shows a suspension or a step. */
const SUSPENSION_MS = 150;

/**
 * Notices that the process was suspended: the monotonic clock stands still meanwhile while the
 * time of day goes on. For a while after that no belief which rests on the monotonic clock counts.
 */
export class SuspensionGuard {
  private offsetMs = Date.now() - performance.now();
  private distrustedUntilMs = 0;
  private readonly recoveryMs: number;

  /**
   * @param recoveryMs - Time after which every belief has been renewed since the suspension.
   */
  constructor(recoveryMs: number) {
    this.recoveryMs = recoveryMs;
  }

  /** Tells whether beliefs that rest on the monotonic clock count at this moment. */
  isTrusted(): boolean {
    const nowMs = performance.now();
    const offsetMs = Date.now() - nowMs;
    if (Math.abs(offsetMs - this.offsetMs) > SUSPENSION_MS) {
      this.distrustedUntilMs = nowMs + this.recoveryMs;
    }
    this.offsetMs = offsetMs;
    return nowMs >= this.distrustedUntilMs;
  }
}
