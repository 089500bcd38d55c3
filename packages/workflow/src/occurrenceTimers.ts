/** Longest delay of a runtime timer; a longer one would fire at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Timers for the next occurrences of recurring jobs, at most one per job. */
export class OccurrenceTimers implements Disposable {
  private readonly timers = new Map<string, NodeJS.Timeout>();

  /** Replaces the timer of a job; without `waitMs`, only cancels it. */
  schedule(jobId: string, waitMs: number | undefined, onDue: () => void): void {
    this.cancel(jobId);
    if (waitMs !== undefined) this.wait(jobId, waitMs, onDue);
  }

  cancel(jobId: string): void {
    clearTimeout(this.timers.get(jobId));
    this.timers.delete(jobId);
  }

  private wait(jobId: string, waitMs: number, onDue: () => void): void {
    const remainingMs = waitMs - MAX_TIMER_MS;
    const timer =
      remainingMs > 0
        ? setTimeout(() => this.wait(jobId, remainingMs, onDue), MAX_TIMER_MS)
        : setTimeout(onDue, waitMs);
    this.timers.set(jobId, timer);
  }

  [Symbol.dispose](): void {
    for (const timer of this.timers.values()) clearTimeout(timer);
    this.timers.clear();
  }
}
