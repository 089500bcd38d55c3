/** Maximum relative drift between an endpoint's clock and the local clock. */
const CLOCK_RATE_TOLERANCE = 0.02;

/** Reading of an endpoint's clock with the local times of request and response. */
export interface ClockReading {
  clockMs: number;
  sentMs: number;
  receivedMs: number;
}

/**
 * Bounds the current time on an endpoint's monotonic clock, which measures its leases, from the
 * clock readings in its responses. All local times are monotonic milliseconds.
 */
export class LeaseClock {
  private reading: ClockReading | undefined;
  /** Latest end of any lease sent to the endpoint, on its clock. */
  private grantedUntilMs = 0;

  /** Whether there is a reading for the current incarnation of the endpoint. */
  get hasReading(): boolean {
    return this.reading !== undefined;
  }

  /** Records a reading, unless a newer one is known. */
  observe(reading: ClockReading): void {
    const { reading: current } = this;
    // Responses on different connections may arrive out of order.
    if (current && reading.receivedMs < current.receivedMs) return;
    this.reading = reading;
  }

  /**
   * Returns whether a reading from a response agrees with the latest one. The clock of another
   * incarnation may be ahead or behind by any time.
   */
  isPossible({ clockMs, sentMs, receivedMs }: ClockReading): boolean {
    // A response may have been overtaken by the one with the latest reading.
    const overtakenMs = Math.max(0, (this.reading?.receivedMs ?? 0) - sentMs);
    const earliestMs = this.earliestMs(sentMs) - overtakenMs * (1 + CLOCK_RATE_TOLERANCE);
    return clockMs >= Math.floor(earliestMs) && clockMs <= Math.ceil(this.latestMs(receivedMs));
  }

  /**
   * Records a reading from a heartbeat, which may have taken long, or which another writer may have
   * sent: only if it is neither earlier nor later than the clock can be by the latest reading in a
   * response.
   */
  observeHeartbeat(clockMs: number, receivedMs: number): void {
    const { reading } = this;
    if (!reading) return;
    const isPossible =
      clockMs > this.earliestMs(receivedMs) && clockMs <= this.latestMs(receivedMs);
    if (!isPossible) return;
    // It is not known when the clock was read, only since when it can show that time.
    const sinceMs = (clockMs - reading.clockMs) / (1 + CLOCK_RATE_TOLERANCE);
    this.observe({ clockMs, sentMs: reading.sentMs + sinceMs, receivedMs });
  }

  /** Discards the readings and leases of an earlier incarnation. */
  reset(): void {
    this.reading = undefined;
    this.grantedUntilMs = 0;
  }

  /** Returns the end of a lease of `leaseMs` from now on the endpoint's clock, and records it. */
  grant(leaseMs: number, nowMs: number): number {
    const untilMs = Math.floor(this.earliestMs(nowMs) + leaseMs);
    this.grantedUntilMs = Math.max(this.grantedUntilMs, untilMs);
    return untilMs;
  }

  /** Returns whether all leases granted so far have expired even on the slowest permitted clock. */
  hasExpired(nowMs: number): boolean {
    return this.earliestMs(nowMs) >= this.grantedUntilMs;
  }

  /** Returns an upper bound of the current time on the endpoint's clock. */
  private latestMs(nowMs: number): number {
    if (!this.reading) return Infinity;
    const elapsedMs = Math.max(0, nowMs - this.reading.sentMs);
    return this.reading.clockMs + elapsedMs * (1 + CLOCK_RATE_TOLERANCE);
  }

  /** Returns a lower bound of the current time on the endpoint's clock. */
  private earliestMs(nowMs: number): number {
    if (!this.reading) return 0;
    const elapsedMs = Math.max(0, nowMs - this.reading.receivedMs);
    return this.reading.clockMs + elapsedMs * (1 - CLOCK_RATE_TOLERANCE);
  }
}
