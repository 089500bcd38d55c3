/** Number of recent observations over which the maximum is taken. */
const MAX_OBSERVATIONS = 4;

/**
 * Measures event-loop lag as the delay of calls that should come at a fixed interval. State that
 * the process has cached about others is outdated by as much.
 */
export class EventLoopLag {
  private readonly intervalMs: number;
  private readonly lags: number[] = [];
  private expectedMs: number;

  constructor(intervalMs: number) {
    this.intervalMs = intervalMs;
    this.expectedMs = performance.now() + intervalMs;
  }

  /** Records one of the periodic calls. */
  observe(): void {
    const nowMs = performance.now();
    this.lags.push(Math.max(0, nowMs - this.expectedMs));
    if (this.lags.length > MAX_OBSERVATIONS) this.lags.shift();
    this.expectedMs = nowMs + this.intervalMs;
  }

  /** Largest recent lag in milliseconds. */
  get maxMs(): number {
    return Math.max(0, ...this.lags);
  }
}
