/** Timers for the next occurrences of recurring jobs, at most one per job. */
export class OccurrenceTimers implements Disposable {
  private readonly timers = new Map<string, NodeJS.Timeout>();

  /** Replaces the timer of a job; without `waitMs`, only cancels it. */
  schedule(jobId: string, waitMs: number | undefined, onDue: () => void): void {
    this.cancel(jobId);
    if (waitMs !== undefined) this.timers.set(jobId, setTimeout(onDue, waitMs));
  }

  cancel(jobId: string): void {
    clearTimeout(this.timers.get(jobId));
    this.timers.delete(jobId);
  }

  [Symbol.dispose](): void {
    for (const timer of this.timers.values()) clearTimeout(timer);
    this.timers.clear();
  }
}
