import type { SnapshotTransfer } from './snapshotTransfer.js';

/** Messages that may be sent without an acknowledgement, which bounds memory in transit. */
const MAX_MESSAGES_IN_FLIGHT = 32;

/**
 * How entries are sent to a member: `probe` sends one message at a time until the logs agree,
 * `replicate` sends without waiting, `snapshot` sends a snapshot first.
 */
export type ProgressMode = 'probe' | 'replicate' | 'snapshot';

/** What the leader knows about the log of a member. */
export class Progress {
  mode: ProgressMode = 'probe';
  /** Last index up to which the member's log is known to be the leader's, and durable. */
  durableIndex = 0;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Send time of the latest message that the member acknowledged. */
  ackedSentAtMs = -Infinity;
  /** True while a probe is on its way; the next heartbeat clears it. */
  isProbing = false;
  /** Last index of each message that has not been acknowledged as durable. */
  private inFlight: number[] = [];
  /** Snapshot that is being sent. */
  transfer: SnapshotTransfer | undefined;

  constructor(nextIndex: number) {
    this.nextIndex = nextIndex;
  }

  /** Tells whether entries can be sent now. */
  get canSend(): boolean {
    if (this.mode === 'snapshot') return false;
    if (this.mode === 'probe') return !this.isProbing;
    return this.inFlight.length < MAX_MESSAGES_IN_FLIGHT;
  }

  /** Notes an acknowledged message. */
  acknowledge(sentAtMs: number): void {
    this.ackedSentAtMs = Math.max(this.ackedSentAtMs, sentAtMs);
  }

  /** Notes that entries up to an index have been sent. */
  sent(lastIndex: number): void {
    if (this.mode === 'probe') {
      this.isProbing = true;
      return;
    }
    if (lastIndex >= this.nextIndex) this.inFlight.push(lastIndex);
    this.nextIndex = lastIndex + 1;
  }

  /** Notes that the logs agree up to `verifiedIndex`. */
  accept(verifiedIndex: number, durableIndex: number): void {
    this.durableIndex = Math.max(this.durableIndex, durableIndex);
    this.inFlight = this.inFlight.filter((index) => index > this.durableIndex);
    if (this.transfer && verifiedIndex < this.transfer.snapshot.index) return;
    this.transfer = undefined;
    this.mode = 'replicate';
    this.isProbing = false;
    this.nextIndex = Math.max(this.nextIndex, verifiedIndex + 1);
  }

  /** Goes back to an index after a conflict. */
  probeFrom(nextIndex: number): void {
    this.mode = 'probe';
    this.isProbing = false;
    this.inFlight = [];
    this.nextIndex = Math.max(nextIndex, this.durableIndex + 1);
  }

  /** Starts to send a snapshot. */
  startTransfer(transfer: SnapshotTransfer): void {
    this.mode = 'snapshot';
    this.inFlight = [];
    this.transfer = transfer;
  }
}
