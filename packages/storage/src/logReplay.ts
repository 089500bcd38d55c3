import type { HeadRecord, LogRecord, StoredEntry } from './logRecord.js';
import { fromStoredEntry } from './logRecord.js';
import type { HardState, LogEntry } from './logStore.js';
import { TermIndex } from './termIndex.js';

/** Rebuilds the log after a snapshot by replaying the records of the segments in order. */
export class LogReplay {
  private readonly snapshotIndex: number;
  private readonly snapshotTerm: number;
  private isSnapshotRecorded: boolean;

  readonly termIndex = new TermIndex();
  hardState: HardState = { term: 0 };

  /** Entries after the snapshot. */
  entries: LogEntry[] = [];

  constructor(snapshot: { index: number; term: number } = { index: 0, term: 0 }) {
    this.snapshotIndex = snapshot.index;
    this.snapshotTerm = snapshot.term;
    this.isSnapshotRecorded = snapshot.index === 0;
  }

  /**
   * Applies a record; returns a description of the inconsistency if the record does not fit the
   * log.
   */
  apply(record: LogRecord): string | undefined {
    if (record.kind === 'head') return this.applyHead(record);
    if (record.hardState) this.hardState = record.hardState;
    for (const entry of record.entries ?? []) {
      const inconsistency = this.append(entry);
      if (inconsistency) return inconsistency;
    }
    return undefined;
  }

  /**
   * Completes the replay and reconciles the log with the snapshot. Returns whether a segment
   * records the snapshot already; if not, the process died after renaming the snapshot and before
   * starting the next segment.
   */
  finish(): boolean {
    if (
      !this.isSnapshotRecorded &&
      this.termIndex.termAt(this.snapshotIndex) !== this.snapshotTerm
    ) {
      this.entries = [];
    }
    this.termIndex.reset(this.snapshotIndex, this.snapshotTerm);
    for (const { index, term } of this.entries) this.termIndex.append(index, term);
    return this.isSnapshotRecorded;
  }

  private applyHead(head: HeadRecord): string | undefined {
    if (head.snapshotIndex > this.snapshotIndex) {
      return `the log requires snapshot ${head.snapshotIndex}, which is missing`;
    }
    const { lastIndex } = this.termIndex;
    if (head.lastIndex > lastIndex && head.lastIndex > this.snapshotIndex) {
      return `the log should end at entry ${head.lastIndex} or later but ends at entry ${lastIndex}`;
    }
    this.hardState = head.hardState;
    this.isSnapshotRecorded ||= head.snapshotIndex === this.snapshotIndex;
    if (head.lastIndex > lastIndex) this.termIndex.reset(head.lastIndex, head.snapshotTerm);
    else this.truncate(head.lastIndex);
    return undefined;
  }

  private append(stored: StoredEntry): string | undefined {
    const entry = fromStoredEntry(stored);
    const isGap = entry.index > this.termIndex.lastIndex + 1;
    // Segments covered by the snapshot may already have been deleted.
    if (isGap && entry.index > this.snapshotIndex + 1) {
      return `gap in the log: entry ${entry.index} follows entry ${this.termIndex.lastIndex}`;
    }
    this.truncate(entry.index - 1);
    if (isGap) this.termIndex.reset(entry.index - 1, entry.term);
    this.termIndex.append(entry.index, entry.term);
    if (entry.index > this.snapshotIndex) this.entries.push(entry);
    return undefined;
  }

  private truncate(lastIndex: number): void {
    this.termIndex.truncate(lastIndex);
    const kept = Math.max(0, lastIndex - this.snapshotIndex);
    if (this.entries.length > kept) this.entries.length = kept;
  }
}
