import type { RunLedger } from './runLedger.js';
import type { StoppableRun } from './preemptionTypes.js';

/** A run that was stopped for a step and that still counts. */
export interface ActiveStop {
  run: StoppableRun;
  pool: string;
  /** Monotonic time of the order. */
  sinceMs: number;
}

/** Tracks the runs that were stopped for urgent work until their ends are settled. */
export class StopTracker {
  private readonly ledger: RunLedger;
  private readonly stops = new Map<string, ActiveStop>();

  constructor(ledger: RunLedger) {
    this.ledger = ledger;
  }

  add(stop: ActiveStop): void {
    this.stops.set(stop.run.key, stop);
  }

  find(key: string): ActiveStop | undefined {
    return this.stops.get(key);
  }

  /** Removes the stops of runs that no longer count, and returns the others. */
  list(): ActiveStop[] {
    for (const [key, { run }] of this.stops) {
      if (!this.ledger.runsOn(run.endpoint).has(key)) this.stops.delete(key);
    }
    return [...this.stops.values()];
  }
}
