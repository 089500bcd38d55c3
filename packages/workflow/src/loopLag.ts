/** Time for which the largest lag is kept, in observations. */
const KEPT_OBSERVATIONS = 4;

/**
 * Measures by how much the event loop is late, from calls that should come at a fixed interval.
 * What a process believes about others is older by as much.
 */
export class LoopLag {
  private readonly intervalMs: number;
  private readonly lags: number[] = [];
  private expectedMs: number;

  constructor(intervalMs: number) {
    this.intervalMs = intervalMs;
    this.expectedMs = performance.now() + intervalMs;
  }

  /** Takes up one of the calls. */
  observe(): void {
    const nowMs = performance.now();
    this.lags.push(Math.max(0, nowMs - this.expectedMs));
    if (this.lags.length > KEPT_OBSERVATIONS) this.lags.shift();
    this.expectedMs = nowMs + this.intervalMs;
  }

  /** Largest lag of late in milliseconds. */
  get ms(): number {
    return Math.max(0, ...this.lags);
  }
}
