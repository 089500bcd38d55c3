/** Keys that are kept for a fixed time, on the monotonic clock. */
export class ExpiryQueue {
  /** Monotonic times since which keys are kept, in ascending order. */
  private readonly sinceMs = new Map<string, number>();
  private readonly retentionMs: number;

  constructor(retentionMs: number) {
    this.retentionMs = retentionMs;
  }

  /** Adds a key unless it is kept already; returns whether it was added. */
  add(key: string): boolean {
    if (this.sinceMs.has(key)) return false;
    this.sinceMs.set(key, performance.now());
    return true;
  }

  /** Keeps a key for the whole time again; returns false if it is not kept any more. */
  renew(key: string): boolean {
    // Deleting first keeps the map ordered by time, on which `takeExpired` relies.
    return this.sinceMs.delete(key) && this.add(key);
  }

  /** Removes and returns expired keys, oldest first. */
  takeExpired(maxCount: number): string[] {
    const nowMs = performance.now();
    const expired: string[] = [];
    for (const [key, sinceMs] of this.sinceMs) {
      if (nowMs - sinceMs <= this.retentionMs || expired.length >= maxCount) break;
      expired.push(key);
    }
    for (const key of expired) this.sinceMs.delete(key);
    return expired;
  }
}
