import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';

/**
 * Refuses to act when leader validity has ended. A process that was paused
 * continues where it stopped, so each outgoing effect checks again directly before.
 */
export class ValidityGuard {
  private readonly log: ReplicatedLog;
  private isClosed = false;

  constructor(log: ReplicatedLog) {
    this.log = log;
  }

  /** Ends the guard with the leadership that it belongs to. */
  close(): void {
    this.isClosed = true;
  }

  isValid(): boolean {
    return !this.isClosed && this.log.isLeaderValid();
  }

  /** Throws a `no-leader` refusal unless this instance is the valid leader at this moment. */
  assertValid(): void {
    if (this.isValid()) return;
    throw new RefusalError({
      type: 'no-leader',
      runState: 'not-run',
      message: 'this instance is not the valid leader',
      details: { leaderId: this.log.leaderId },
    });
  }
}
