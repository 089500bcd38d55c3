/** Stops of a task that are remembered. */
interface TaskStops {
  count: number;
  /** Monotonic time. */
  lastMs: number;
}

/** Room that a step did not use although it was freed. */
interface StepBackOff {
  count: number;
  /** Monotonic time from which runs may be stopped for the step again. */
  untilMs: number;
}

/** Time after which the stops of a task are forgotten. */
const MEMORY_MS = 60_000;

/** Most recent stops of a task; beyond it the task is left alone. */
const MAX_STOPS = 3;

/** First pause after room that was freed for a step was not used; doubles each time. */
const FIRST_BACK_OFF_MS = 1000;

/** Longest such pause. */
const MAX_BACK_OFF_MS = 16_000;

/**
 * Remembers which tasks were stopped and for which steps it was of no use. It is not durable: a new
 * leader leaves each run that it adopts alone until it has done the work of a checkpoint again, so
 * that a task is stopped at most once more for each change of leader.
 */
export class PreemptionHistory {
  private readonly stops = new Map<string, TaskStops>();
  private readonly backOffs = new Map<string, StepBackOff>();

  /** Records that a run of a task is stopped. */
  recordStop(task: string, nowMs: number): void {
    const count = this.countStops(task, nowMs) + 1;
    this.stops.set(task, { count, lastMs: nowMs });
  }

  /** Returns the number of recent stops of a task. */
  countStops(task: string, nowMs: number): number {
    const known = this.stops.get(task);
    return known && nowMs - known.lastMs < MEMORY_MS ? known.count : 0;
  }

  /**
   * Returns for how long a run must have been at work before it may be stopped; Infinity if its task
   * was stopped too often. The time doubles with each stop, so that the task makes progress.
   */
  requiredWorkMs(task: string, checkpointMs: number, nowMs: number): number {
    const count = this.countStops(task, nowMs);
    return count >= MAX_STOPS ? Infinity : checkpointMs * 2 ** count;
  }

  /** Records that a step did not use room that was freed for it. */
  recordUnused(step: string, nowMs: number): void {
    const count = (this.backOffs.get(step)?.count ?? 0) + 1;
    const pauseMs = Math.min(MAX_BACK_OFF_MS, FIRST_BACK_OFF_MS * 2 ** (count - 1));
    this.backOffs.set(step, { count, untilMs: nowMs + pauseMs });
  }

  /** Returns whether no run may be stopped for a step at present. */
  isBackedOff(step: string, nowMs: number): boolean {
    return nowMs < (this.backOffs.get(step)?.untilMs ?? -Infinity);
  }

  /** Discards what is too old to matter, and the steps that no longer wait. */
  clean(nowMs: number, isWaiting: (step: string) => boolean): void {
    for (const [task, { lastMs }] of this.stops) {
      if (nowMs - lastMs >= MEMORY_MS) this.stops.delete(task);
    }
    for (const step of this.backOffs.keys()) if (!isWaiting(step)) this.backOffs.delete(step);
  }
}
