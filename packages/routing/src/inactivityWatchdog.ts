import type { AttemptPresence } from './exchange.js';

/** Options of a {@link InactivityWatchdog}. */
export interface InactivityWatchdogOptions {
  /** Silence after which the endpoint is asked, in milliseconds. */
  maxInactivityMs: number;
  /** Pause between two questions about a doubtful exchange, in milliseconds. */
  recheckMs: number;
  /** Failed probes in a row after which the exchange is given up. */
  maxFailedProbes: number;
  /** Asks the endpoint for the attempt on a connection of its own. */
  probe: () => Promise<AttemptPresence>;
  /** Tells whether silence is not the endpoint's doing. */
  isStalledLocally: () => boolean;
  /** Called once when the exchange is to be given up. */
  onUnresponsive: (reason: string) => void;
}

/**
 * Detects connections that went silent for good: while an exchange is silent, the endpoint is
 * asked on another connection. A long silence is fine as long as the attempt runs.
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

  /** Notes that a part of the request or answer has been transferred. */
  recordActivity(): void {
    this.lastActivityMs = performance.now();
    this.notRunningReports = 0;
    this.failedProbes = 0;
  }

  /** Ends the watch. */
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
    // The first answer may have overtaken the request or its answer; the second one has not.
    if (this.notRunningReports >= 2) this.failExchange(`the endpoint says the attempt is ${presence}`);
    else if (this.failedProbes >= this.opts.maxFailedProbes) {
      this.failExchange(`the endpoint did not answer ${this.failedProbes} probes`);
    }
  }

  private failExchange(reason: string): void {
    this.stop();
    this.opts.onUnresponsive(reason);
  }
}
