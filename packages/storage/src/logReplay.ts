import type { HeadRecord, LogRecord, StoredEntry } from './logRecord.js';
import { fromStoredEntry } from './logRecord.js';
import type { HardState, LogEntry } from './logStore.js';
import { TermRuns } from './termRuns.js';

/** Rebuilds the log behind a snapshot from the records of the segments, in order. */
export class LogReplay {
  private readonly snapshotIndex: number;
  private readonly snapshotTerm: number;
  private hasSnapshotMark: boolean;

  readonly terms = new TermRuns();
  hardState: HardState = { term: 0 };

  /** Entries after the snapshot. */
  entries: LogEntry[] = [];

  constructor(snapshot: { index: number; term: number } = { index: 0, term: 0 }) {
    this.snapshotIndex = snapshot.index;
    this.snapshotTerm = snapshot.term;
    this.hasSnapshotMark = snapshot.index === 0;
  }

  /** Applies a record; returns what is wrong with it, if anything. */
  apply(record: LogRecord): string | undefined {
    if (record.kind === 'head') return this.applyHead(record);
    if (record.hardState) this.hardState = record.hardState;
    for (const entry of record.entries ?? []) {
      const fault = this.append(entry);
      if (fault) return fault;
    }
    return undefined;
  }

  /**
   * Settles how the log relates to the snapshot. Returns whether a segment already records it;
   * if not, the process died between renaming the snapshot and starting the next segment.
   */
  finish(): boolean {
    if (!this.hasSnapshotMark && this.terms.termOf(this.snapshotIndex) !== this.snapshotTerm) {
      this.entries = [];
    }
    this.terms.reset(this.snapshotIndex, this.snapshotTerm);
    for (const { index, term } of this.entries) this.terms.append(index, term);
    return this.hasSnapshotMark;
  }

  private applyHead(head: HeadRecord): string | undefined {
    if (head.snapshotIndex > this.snapshotIndex) {
      return `the log continues snapshot ${head.snapshotIndex}, which does not exist`;
    }
    const { lastIndex } = this.terms;
    if (head.lastIndex > lastIndex && head.lastIndex > this.snapshotIndex) {
      return `the log should reach entry ${head.lastIndex} but ends at entry ${lastIndex}`;
    }
    this.hardState = head.hardState;
    this.hasSnapshotMark ||= head.snapshotIndex === this.snapshotIndex;
    if (head.lastIndex > lastIndex) this.terms.reset(head.lastIndex, head.snapshotTerm);
    else this.truncate(head.lastIndex);
    return undefined;
  }

  private append(stored: StoredEntry): string | undefined {
    const entry = fromStoredEntry(stored);
    const isGap = entry.index > this.terms.lastIndex + 1;
    // Segments that the snapshot covers may have been deleted already.
    if (isGap && entry.index > this.snapshotIndex + 1) {
      return `entry ${entry.index} follows entry ${this.terms.lastIndex}`;
    }
    this.truncate(entry.index - 1);
    if (isGap) this.terms.reset(entry.index - 1, entry.term);
    this.terms.append(entry.index, entry.term);
    if (entry.index > this.snapshotIndex) this.entries.push(entry);
    return undefined;
  }

  private truncate(lastIndex: number): void {
    this.terms.truncate(lastIndex);
    const kept = Math.max(0, lastIndex - this.snapshotIndex);
    if (this.entries.length > kept) this.entries.length = kept;
  }
}
