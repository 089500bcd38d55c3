/** Minimum time between two scheduling cycles. */
const MIN_PAUSE_MS = 4;

/** Pause after a cycle as a multiple of its duration. */
const PAUSE_FACTOR = 3;

/** Maximum pause, as it delays the start of urgent tasks. */
const MAX_PAUSE_MS = 60;

/**
 * Determines the pause between two scheduling cycles. It grows with the duration of a cycle, so that
 * cycles use at most a quarter of a saturated event loop and leave the rest to leadership renewal
 * and to the calls of callers and endpoints.
 */
export class CyclePacer {
  private lastPauseMs = MIN_PAUSE_MS;

  /** Pause before the next cycle in milliseconds. */
  get pauseMs(): number {
    return this.lastPauseMs;
  }

  /** Records the duration of a cycle. */
  recordCycle(durationMs: number): void {
    this.lastPauseMs = Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, durationMs * PAUSE_FACTOR));
  }
}
