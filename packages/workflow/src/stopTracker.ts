import type { RunLedger } from './runLedger.js';
import type { StoppableRun } from './preemptionTypes.js';

/** A run that was stopped for a step and that still counts. */
export interface ActiveStop {
  run: StoppableRun;
  /** Monotonic time of the order. */
  sinceMs: number;
}

/** Tracks the runs that were stopped for urgent work until their ends are settled. */
export class StopTracker {
  private readonly ledger: RunLedger;
  private readonly overdueMs: number;
  private readonly stops = new Map<string, ActiveStop>();

  /** @param overdueMs - Time after which the end of a stopped run is no longer expected soon. */
  constructor(ledger: RunLedger, overdueMs: number) {
    this.overdueMs = overdueMs;
    this.ledger = ledger;
  }

  add(stop: ActiveStop): void {
    this.ledger.setStopping(stop.run.key, true);
    this.stops.set(stop.run.key, stop);
  }

  /** Removes the stops of runs that no longer count, and marks those that are overdue. */
  review(): void {
    const nowMs = performance.now();
    for (const [key, { run, sinceMs }] of this.stops) {
      if (!this.ledger.runsOn(run.endpoint).has(key)) this.stops.delete(key);
      else if (nowMs - sinceMs >= this.overdueMs) this.ledger.setStopping(key, false);
    }
  }

  /** Returns the stops of runs that counted at the latest review. */
  list(): ActiveStop[] {
    return [...this.stops.values()];
  }
}
