import type { SnapshotTransfer } from './snapshotTransfer.js';

/** Maximum number of unacknowledged messages per member, which bounds the memory in transit. */
const MAX_MESSAGES_IN_FLIGHT = 32;

/**
 * Replication mode of a member: `probe` sends one message at a time until the logs match,
 * `replicate` pipelines messages, `snapshot` sends a snapshot first.
 */
export type ProgressMode = 'probe' | 'replicate' | 'snapshot';

/** Replication progress of one member, as tracked by the leader. */
export class Progress {
  mode: ProgressMode = 'probe';
  /** Last index up to which the member's log is known to match the leader's and to be durable. */
  durableIndex = 0;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Send time of the latest message that the member acknowledged. */
  ackedSentAtMs = -Infinity;
  /** True while a probe is unacknowledged; cleared by the next heartbeat. */
  isProbeInFlight = false;
  /** Last entry index of each message that is not yet acknowledged as durable. */
  private inFlight: number[] = [];
  /** Snapshot that is being sent. */
  transfer: SnapshotTransfer | undefined;

  constructor(nextIndex: number) {
    this.nextIndex = nextIndex;
  }

  /** Whether flow control permits sending entries now. */
  get canSend(): boolean {
    if (this.mode === 'snapshot') return false;
    if (this.mode === 'probe') return !this.isProbeInFlight;
    return this.inFlight.length < MAX_MESSAGES_IN_FLIGHT;
  }

  /** Records that the member acknowledged the message sent at the given time. */
  recordAcknowledgement(sentAtMs: number): void {
    this.ackedSentAtMs = Math.max(this.ackedSentAtMs, sentAtMs);
  }

  /** Records that entries up to an index were sent. */
  recordSent(lastIndex: number): void {
    if (this.mode === 'probe') {
      this.isProbeInFlight = true;
      return;
    }
    if (lastIndex >= this.nextIndex) this.inFlight.push(lastIndex);
    this.nextIndex = lastIndex + 1;
  }

  /** Records that the logs match up to `verifiedIndex` and are durable up to `durableIndex`. */
  recordMatch(verifiedIndex: number, durableIndex: number): void {
    this.durableIndex = Math.max(this.durableIndex, durableIndex);
    this.inFlight = this.inFlight.filter((index) => index > this.durableIndex);
    if (this.transfer && verifiedIndex < this.transfer.snapshot.index) return;
    this.transfer = undefined;
    this.mode = 'replicate';
    this.isProbeInFlight = false;
    this.nextIndex = Math.max(this.nextIndex, verifiedIndex + 1);
  }

  /** Resumes probing at an earlier index after a conflict. */
  probeFrom(nextIndex: number): void {
    this.mode = 'probe';
    this.isProbeInFlight = false;
    this.inFlight = [];
    this.nextIndex = Math.max(nextIndex, this.durableIndex + 1);
  }

  /** Switches to sending a snapshot. */
  startTransfer(transfer: SnapshotTransfer): void {
    this.mode = 'snapshot';
    this.inFlight = [];
    this.transfer = transfer;
  }
}
