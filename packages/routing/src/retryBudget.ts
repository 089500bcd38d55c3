/** Settings of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Number of retries per request that is not a retry. */
  share: number;
  /** Number of retries per second that are allowed regardless of traffic. */
  minPerSecond: number;
}

/** Length of the sliding window over which requests and retries are counted, in seconds. */
const WINDOW_SECONDS = 10;

const MS_PER_SECOND = 1000;

/** Limits retries to a share of the other requests of the last ten seconds. */
export class RetryBudget {
  private readonly requests = new Array<number>(WINDOW_SECONDS).fill(0);
  private readonly retries = new Array<number>(WINDOW_SECONDS).fill(0);
  private readonly opts: RetryBudgetOptions;
  private second = Math.floor(performance.now() / MS_PER_SECOND);

  constructor(opts: Partial<RetryBudgetOptions> = {}) {
    this.opts = { share: 0.2, minPerSecond: 1, ...opts };
  }

  /** Records a request that is not a retry. */
  recordRequest(): void {
    this.advance();
    this.requests[this.second % WINDOW_SECONDS]! += 1;
  }

  /** Consumes one retry of the budget; returns false if none is left. */
  tryAcquire(): boolean {
    this.advance();
    if (RetryBudget.sum(this.retries) + 1 > this.computeAllowance()) return false;
    this.retries[this.second % WINDOW_SECONDS]! += 1;
    return true;
  }

  private computeAllowance(): number {
    const { share, minPerSecond } = this.opts;
    return share * RetryBudget.sum(this.requests) + minPerSecond * WINDOW_SECONDS;
  }

  private advance(): void {
    const now = Math.floor(performance.now() / MS_PER_SECOND);
    const steps = Math.min(now - this.second, WINDOW_SECONDS);
    for (let i = 1; i <= steps; i++) {
      const slot = (now - steps + i) % WINDOW_SECONDS;
      this.requests[slot] = 0;
      this.retries[slot] = 0;
    }
    this.second = now;
  }

  private static sum(counts: number[]): number {
    return counts.reduce((total, count) => total + count, 0);
  }
}
