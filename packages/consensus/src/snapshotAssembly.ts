import type { SnapshotMessage } from './raftMessage.js';

/** Parts of a snapshot that have arrived so far. */
export class SnapshotAssembly {
  private readonly parts: string[] = [];
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

  /** Position of the part that is expected next. */
  get offset(): number {
    return this.receivedLength;
  }

  get isComplete(): boolean {
    return this.receivedLength === this.length;
  }

  /**
   * Tells whether a part belongs here. Two leaders may encode the same state differently, so
   * parts of different senders or terms are not mixed.
   */
  isOf({ from, term, snapshotIndex, length }: SnapshotMessage): boolean {
    const isSameSender = this.from === from && this.term === term;
    return isSameSender && this.snapshotIndex === snapshotIndex && this.length === length;
  }

  /** Takes a part, unless it is a repeated or an early one. */
  add({ offset, text }: SnapshotMessage): void {
    if (offset !== this.receivedLength) return;
    this.parts.push(text);
    this.receivedLength += text.length;
  }

  /** Decodes the state. */
  takeData(): unknown {
    return JSON.parse(this.parts.join(''));
  }
}
