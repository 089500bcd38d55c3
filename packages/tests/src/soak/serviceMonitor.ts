import type { SoakHistory } from './soakHistory.js';

/** Time within which a service task must run again while an endpoint has room for it. */
export const SERVICE_RESTART_BOUND_MS = 10_000;

const POLL_INTERVAL_MS = 100;

/**
 * Checks that service tasks run again within a bound. The time of a task without a run counts from
 * the start of the monitor, and only while an endpoint has had room for it all the time.
 */
export class ServiceMonitor implements Disposable {
  private readonly history: SoakHistory;
  private readonly listEndpoints: () => string[];
  private readonly downSinceMs = new Map<string, number>();
  private readonly reported = new Set<string>();
  private readonly timer: NodeJS.Timeout;

  /** @param listEndpoints - Returns the endpoints without an active fault. */
  constructor(history: SoakHistory, listEndpoints: () => string[]) {
    this.history = history;
    this.listEndpoints = listEndpoints;
    this.timer = setInterval(() => this.check(), POLL_INTERVAL_MS);
  }

  /** Whether no service task is without a run while there is room for it. */
  get isSettled(): boolean {
    return this.listWaiting().every((name) => this.reported.has(name));
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const nowMs = performance.now();
    const waiting = new Set(this.listWaiting());
    for (const name of this.downSinceMs.keys()) {
      if (!waiting.has(name)) this.downSinceMs.delete(name);
    }
    for (const name of waiting) {
      const sinceMs = this.downSinceMs.get(name) ?? nowMs;
      this.downSinceMs.set(name, sinceMs);
      if (nowMs - sinceMs <= SERVICE_RESTART_BOUND_MS || this.reported.has(name)) continue;
      this.reported.add(name);
      this.history.recordServiceDown(name, nowMs - sinceMs);
    }
  }

  private listWaiting(): string[] {
    return this.history.listDownServiceTasks(this.listEndpoints());
  }
}
