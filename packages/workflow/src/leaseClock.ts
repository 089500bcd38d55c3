/** Largest relative difference between the rate of an endpoint's clock and ours. */
const CLOCK_RATE_TOLERANCE = 0.02;

/** What was read from an endpoint's clock, and when. */
interface ClockReading {
  clockMs: number;
  sentMs: number;
  receivedMs: number;
}

/**
 * Bounds the time on an endpoint's own steady clock, on which leases are measured, from the
 * readings in its answers. All local times are monotonic milliseconds.
 */
export class LeaseClock {
  private reading: ClockReading | undefined;
  /** Latest end of a lease that may have reached the endpoint, on its clock. */
  private grantedUntilMs = 0;

  /** Tells whether the clock has been read in this life of the endpoint. */
  get isKnown(): boolean {
    return this.reading !== undefined;
  }

  /** Takes a reading from the answer to a call. */
  observe(reading: ClockReading): void {
    const { reading: known } = this;
    // Answers on different connections may overtake each other.
    if (known && reading.receivedMs < known.receivedMs) return;
    this.reading = reading;
  }

  /** Forgets the clock of an earlier life. */
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

  /** Tells whether every lease granted so far has certainly ended. */
  hasExpired(nowMs: number): boolean {
    return this.earliestMs(nowMs) >= this.grantedUntilMs;
  }

  /** Earliest time that the endpoint's clock can show. */
  private earliestMs(nowMs: number): number {
    if (!this.reading) return 0;
    const elapsedMs = Math.max(0, nowMs - this.reading.receivedMs);
    return this.reading.clockMs + elapsedMs * (1 - CLOCK_RATE_TOLERANCE);
  }
}
