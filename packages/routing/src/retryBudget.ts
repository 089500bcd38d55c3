/** Settings of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries per fresh request. */
  share: number;
  /** Retries a second that are allowed whatever the traffic is. */
  minPerSecond: number;
}

/** Length of the window over which traffic counts, in seconds. */
const WINDOW_SECONDS = 10;

const MS_PER_SECOND = 1000;

/** Bounds retries to a share of the fresh traffic of the last ten seconds. */
export class RetryBudget {
  private readonly requests = new Array<number>(WINDOW_SECONDS).fill(0);
  private readonly retries = new Array<number>(WINDOW_SECONDS).fill(0);
  private readonly opts: RetryBudgetOptions;
  private second = Math.floor(performance.now() / MS_PER_SECOND);

  constructor(opts: Partial<RetryBudgetOptions> = {}) {
    this.opts = { share: 0.2, minPerSecond: 1, ...opts };
  }

  /** Notes a request that is not a retry. */
  recordFresh(): void {
    this.advance();
    this.requests[this.second % WINDOW_SECONDS]! += 1;
  }

  /** Takes one retry out of the budget; false if there is none left. */
  tryTake(): boolean {
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
