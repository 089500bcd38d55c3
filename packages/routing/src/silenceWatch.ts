import type { AttemptPresence } from './exchange.js';

/** Options of a {@link SilenceWatch}. */
export interface SilenceWatchOptions {
  /** Silence after which the endpoint is asked, in milliseconds. */
  maxSilenceMs: number;
  /** Pause between two questions about a doubtful exchange, in milliseconds. */
  recheckMs: number;
  /** Failed probes in a row after which the exchange is given up. */
  maxFailedProbes: number;
  /** Asks the endpoint for the attempt on a connection of its own. */
  probe: () => Promise<AttemptPresence>;
  /** Tells whether silence is not the endpoint's doing. */
  isHeldBack: () => boolean;
  /** Called once when the exchange is to be given up. */
  onGone: (reason: string) => void;
}

/**
 * Detects connections that went silent for good: while an exchange is silent, the endpoint is
 * asked on another connection. A long silence is fine as long as the attempt runs.
 */
export class SilenceWatch {
  private lastActivityMs = performance.now();
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private goneAnswers = 0;
  private failedProbes = 0;

  constructor(private readonly opts: SilenceWatchOptions) {
    this.schedule(opts.maxSilenceMs);
  }

  /** Notes that a part of the request or answer has been transferred. */
  touch(): void {
    this.lastActivityMs = performance.now();
    this.goneAnswers = 0;
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
    const { maxSilenceMs, recheckMs, isHeldBack } = this.opts;
    const silentMs = performance.now() - this.lastActivityMs;
    if (isHeldBack() || silentMs < maxSilenceMs) {
      this.schedule(isHeldBack() ? maxSilenceMs : maxSilenceMs - silentMs);
      return;
    }
    const askedAtMs = performance.now();
    const presence = await this.opts.probe().catch(() => undefined);
    if (this.isStopped) return;
    if (this.lastActivityMs >= askedAtMs) {
      this.schedule(maxSilenceMs);
      return;
    }
    this.judge(presence);
    const isDoubtful = this.goneAnswers > 0 || this.failedProbes > 0;
    this.schedule(isDoubtful ? recheckMs : maxSilenceMs);
  }

  private judge(presence: AttemptPresence | undefined): void {
    this.failedProbes = presence === undefined ? this.failedProbes + 1 : 0;
    const isGone = presence === 'absent' || presence === 'finished';
    this.goneAnswers = isGone ? this.goneAnswers + 1 : 0;
    // The first answer may have overtaken the request or its answer; the second one has not.
    if (this.goneAnswers >= 2) this.giveUp(`the endpoint says the attempt is ${presence}`);
    else if (this.failedProbes >= this.opts.maxFailedProbes) {
      this.giveUp(`the endpoint did not answer ${this.failedProbes} probes`);
    }
  }

  private giveUp(reason: string): void {
    this.stop();
    this.opts.onGone(reason);
  }
}
