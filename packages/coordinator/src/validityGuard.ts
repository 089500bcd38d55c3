import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import type { RunState } from '@lagoongap/model/refusal.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';

/**
 * Checks leader validity. A process that was paused resumes where it stopped, so the validity is
 * checked again directly before each external effect.
 */
export class ValidityGuard {
  private readonly log: ReplicatedLog;
  private isClosed = false;

  constructor(log: ReplicatedLog) {
    this.log = log;
  }

  /** Invalidates the guard permanently when its leadership ends. */
  close(): void {
    this.isClosed = true;
  }

  isValid(): boolean {
    return !this.isClosed && this.log.isLeaderValid();
  }

  /** Returns the time since a majority last confirmed the leadership, in milliseconds. */
  readConfirmationAgeMs(): number {
    return performance.now() - this.log.quorumContactMs;
  }

  /**
   * Asserts that this instance is the valid leader at this moment.
   *
   * @throws {RefusalError} of type `no-leader` with the run state `not-run` otherwise.
   */
  assertValid(): void {
    this.assert('not-run');
  }

  /**
   * Asserts the same after a commit: the call has taken effect, but its response may be outdated.
   *
   * @throws {RefusalError} of type `no-leader` with the run state `unknown` otherwise.
   */
  assertStillValid(): void {
    this.assert('unknown');
  }

  private assert(runState: RunState): void {
    if (this.isValid()) return;
    throw new RefusalError({
      type: 'no-leader',
      runState,
      message: 'this instance is not the valid leader',
      details: { leaderId: this.log.leaderId },
    });
  }
}
