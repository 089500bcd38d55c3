interface Series {
  /** Number of heartbeats in the series. */
  count: number;
  lastSequence: number;
  /** Monotonic time of the first one. */
  sinceMs: number;
}

/** Number of heartbeats after which a series is not late. */
const MIN_COUNT = 3;

/** Heartbeat intervals over which a series has to last; delayed heartbeats arrive at once. */
const MIN_INTERVALS = 1.8;

/**
 * Tells delayed heartbeats from those of an endpoint under whose id another writer has used a
 * higher sequence: the latter keep coming, in order and at the pace of heartbeats.
 */
export class LateHeartbeats {
  private readonly heartbeatMs: number;
  private readonly series = new Map<string, Series>();

  constructor(heartbeatMs: number) {
    this.heartbeatMs = heartbeatMs;
  }

  /** Records a heartbeat that seems late; returns whether the endpoint itself keeps sending. */
  isCurrent(endpoint: string, sequence: number, nowMs: number): boolean {
    const series = this.series.get(endpoint);
    if (!series) {
      this.series.set(endpoint, { count: 1, lastSequence: sequence, sinceMs: nowMs });
      return false;
    }
    if (sequence <= series.lastSequence) return false;
    series.count += 1;
    series.lastSequence = sequence;
    return series.count >= MIN_COUNT && nowMs - series.sinceMs >= this.heartbeatMs * MIN_INTERVALS;
  }

  /** Ends the series of an endpoint, after a heartbeat that was accepted. */
  clear(endpoint: string): void {
    this.series.delete(endpoint);
  }
}
