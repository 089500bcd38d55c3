import type { AttemptPresence } from './endpointClient.js';

/** Options of a {@link InactivityWatchdog}. */
export interface InactivityWatchdogOptions {
  /** Inactivity after which the endpoint is probed, in milliseconds. */
  maxInactivityMs: number;
  /** Delay between two probes of a suspect exchange, in milliseconds. */
  recheckMs: number;
  /** Number of probes that fail in a row before the exchange fails. */
  maxFailedProbes: number;
  /** Queries the endpoint for the state of the attempt, on a separate connection. */
  probe: () => Promise<AttemptPresence>;
  /** Returns whether no activity is expected of the endpoint. */
  isStalledLocally: () => boolean;
  /** Called once when the exchange is to fail. */
  onUnresponsive: (reason: string) => void;
}

/**
 * Detects dead connections: while an exchange is inactive, the endpoint is probed on another
 * connection. Long inactivity is acceptable as long as the attempt runs.
 */
export class InactivityWatchdog {
  private lastActivityMs = performance.now();
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private notRunningReports = 0;
  private failedProbes = 0;

  constructor(private readonly opts: InactivityWatchdogOptions) {
    this.schedule(opts.maxInactivityMs);
  }

  /** Records that a part of the request or response has been transferred. */
  recordActivity(): void {
    this.lastActivityMs = performance.now();
    this.notRunningReports = 0;
    this.failedProbes = 0;
  }

  /** Stops the watchdog. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private schedule(afterMs: number): void {
    if (this.isStopped) return;
    this.timer = setTimeout(() => {
      this.check().catch(() => {});
    }, afterMs);
  }

  private async check(): Promise<void> {
    const { maxInactivityMs, recheckMs, isStalledLocally } = this.opts;
    const inactiveMs = performance.now() - this.lastActivityMs;
    if (isStalledLocally() || inactiveMs < maxInactivityMs) {
      this.schedule(isStalledLocally() ? maxInactivityMs : maxInactivityMs - inactiveMs);
      return;
    }
    const probedAtMs = performance.now();
    const presence = await this.opts.probe().catch(() => undefined);
    if (this.isStopped) return;
    if (this.lastActivityMs >= probedAtMs) {
      this.schedule(maxInactivityMs);
      return;
    }
    this.evaluateProbe(presence);
    const isSuspect = this.notRunningReports > 0 || this.failedProbes > 0;
    this.schedule(isSuspect ? recheckMs : maxInactivityMs);
  }

  private evaluateProbe(presence: AttemptPresence | undefined): void {
    this.failedProbes = presence === undefined ? this.failedProbes + 1 : 0;
    const isNotRunning = presence === 'absent' || presence === 'finished';
    this.notRunningReports = isNotRunning ? this.notRunningReports + 1 : 0;
    // The first such probe response may have overtaken the request or its response; a second one,
    // after the delay, has not.
    if (this.notRunningReports >= 2) this.failExchange(`it reports the attempt as ${presence}`);
    else if (this.failedProbes >= this.opts.maxFailedProbes) {
      this.failExchange(`${this.failedProbes} probes failed`);
    }
  }

  private failExchange(reason: string): void {
    this.stop();
    this.opts.onUnresponsive(reason);
  }
}
