import { createEmptyConfig, type ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import type { Log } from '@lagoongap/model/log.js';
import type { PollParams, PollResult } from '@lagoongap/model/messages.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import { applyReleaseNote } from '@lagoongap/release-notes/applyReleaseNote.js';

import type { LeaderClient } from './leaderClient.js';

/** Options of {@link ValidityPoller}. */
export interface ValidityPollerOptions {
  instanceId: string;
  bootId: string;
  leader: LeaderClient;
  pollMs: number;
  validityMs: number;
  log: Log;
}

/**
 * Polls the leader to update the gateway's configuration and to renew its validity. Validity
 * counts from the time at which the successful poll was sent, so the gateway fences itself
 * before the leader considers it fenced.
 */
export class ValidityPoller implements AsyncDisposable {
  private readonly opts: ValidityPollerOptions;
  private current: ClusterConfig = createEmptyConfig();
  private validUntilMs = -Infinity;
  private newestTerm = 0;
  private timer: NodeJS.Timeout | undefined;
  private isClosed = false;
  private readonly listeners = new Set<(config: ClusterConfig) => void>();

  constructor(opts: ValidityPollerOptions) {
    this.opts = opts;
  }

  get config(): ClusterConfig {
    return this.current;
  }

  start(): void {
    this.schedule(0);
  }

  /** Calls `listener` after each change of the configuration. */
  onConfiguration(listener: (config: ClusterConfig) => void): void {
    this.listeners.add(listener);
  }

  isValid(): boolean {
    return performance.now() < this.validUntilMs;
  }

  /** Returns the time left until the gateway fences itself, in milliseconds. */
  readRemainingMs(): number {
    return Math.max(0, this.validUntilMs - performance.now());
  }

  /** Throws a `gateway-not-valid` refusal when validity has expired. */
  assertValid(): void {
    if (this.isValid()) return;
    throw new RefusalError({
      type: 'gateway-not-valid',
      runState: 'not-run',
      message: 'this instance has lost contact with the leader and does not accept work',
      retryAfterMs: this.opts.pollMs,
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private schedule(delayMs: number): void {
    if (this.isClosed) return;
    this.timer = setTimeout(() => {
      this.poll().then(
        (hasChanged) => this.schedule(hasChanged ? 0 : this.opts.pollMs),
        (err: Error) => {
          this.opts.log.debug('poll failed', { err: err.message });
          this.schedule(this.opts.pollMs);
        },
      );
    }, delayMs);
  }

  /** Returns whether the configuration changed; the next poll reports its number to the leader. */
  private async poll(): Promise<boolean> {
    const { instanceId, bootId, leader, pollMs, validityMs } = this.opts;
    const sentAtMs = performance.now();
    const params: PollParams = { instance: instanceId, bootId, number: this.current.number };
    const result = await leader.call<PollResult>('gateway.poll', params, {
      deadlineMs: validityMs,
      // If the leader is unresponsive, time must remain to find its successor before validity ends.
      tryTimeoutMs: pollMs,
    });
    // A late response of a former leader must not renew the validity.
    if (result.term < this.newestTerm || result.number < this.current.number) return false;
    this.newestTerm = result.term;
    const hasChanged = this.applyResult(result);
    this.validUntilMs = sentAtMs + Math.min(result.validityMs, validityMs);
    return hasChanged;
  }

  private applyResult(result: PollResult): boolean {
    if (result.number === this.current.number) return false;
    if (result.config) this.current = result.config;
    else {
      for (const note of result.notes ?? []) this.current = applyReleaseNote(this.current, note);
    }
    for (const listener of this.listeners) listener(this.current);
    this.opts.log.info('configuration in force', { number: this.current.number });
    return true;
  }
}
