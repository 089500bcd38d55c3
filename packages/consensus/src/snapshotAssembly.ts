import type { SnapshotMessage } from './raftMessage.js';

/** Collects the received chunks of a snapshot. */
export class SnapshotAssembly {
  private readonly chunks: string[] = [];
  private readonly from: string;
  private readonly term: number;
  private readonly snapshotIndex: number;
  private readonly length: number;
  private receivedLength = 0;

  constructor(first: SnapshotMessage) {
    this.from = first.from;
    this.term = first.term;
    this.snapshotIndex = first.snapshotIndex;
    this.length = first.length;
  }

  /** Position of the next expected chunk. */
  get offset(): number {
    return this.receivedLength;
  }

  get isComplete(): boolean {
    return this.receivedLength === this.length;
  }

  /**
   * Returns whether a chunk belongs to this snapshot. Two leaders may encode the same state
   * differently, so chunks of different senders or terms are never mixed.
   */
  matches({ from, term, snapshotIndex, length }: SnapshotMessage): boolean {
    const isSameSender = this.from === from && this.term === term;
    return isSameSender && this.snapshotIndex === snapshotIndex && this.length === length;
  }

  /** Adds a chunk; ignores it if it is repeated or out of order. */
  add({ offset, text }: SnapshotMessage): void {
    if (offset !== this.receivedLength) return;
    this.chunks.push(text);
    this.receivedLength += text.length;
  }

  /** Decodes the state from the collected chunks. */
  decode(): unknown {
    return JSON.parse(this.chunks.join(''));
  }
}
