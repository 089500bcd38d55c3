import type { LogEntry } from '@lagoongap/storage/logStore.js';

import { ConsensusError } from './consensusError.js';
import { lastOf } from './lastOf.js';
import { estimatedLengthOf } from './limitEntriesByLength.js';

/** Position of an entry in the log. */
export interface LogPosition {
  index: number;
  term: number;
}

/** In-memory log entries after a compacted base. */
export class RaftLog {
  private base: LogPosition;
  private entries: LogEntry[] = [];
  private textLength = 0;

  /**
   * @param base - Last compacted position; index 0 and term 0 if nothing was compacted.
   * @param entries - Entries after the base, without gaps.
   */
  constructor(base: LogPosition, entries: LogEntry[]) {
    this.base = base;
    this.append(entries);
  }

  get baseIndex(): number {
    return this.base.index;
  }

  get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  /** Estimated length of the JSON text of all entries. */
  get length(): number {
    return this.textLength;
  }

  get lastTerm(): number {
    return lastOf(this.entries)?.term ?? this.base.term;
  }

  /** Returns the term at an index, or undefined if the entry is compacted or not yet appended. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entries[index - this.base.index - 1]?.term;
  }

  /** Returns up to `limit` entries starting at an index, which must be after the base. */
  slice(fromIndex: number, limit: number): LogEntry[] {
    const start = fromIndex - this.base.index - 1;
    return this.entries.slice(start, start + limit);
  }

  /** Appends entries that follow the last one. */
  append(entries: LogEntry[]): void {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1) {
        throw new ConsensusError(
          `cannot append entry ${entry.index} after last entry ${this.lastIndex}`,
        );
      }
      this.entries.push(entry);
      this.textLength += estimatedLengthOf(entry);
    }
  }

  /** Removes all entries at and after an index. */
  truncateFrom(index: number): void {
    this.discard(this.entries.splice(Math.max(0, index - this.base.index - 1)));
  }

  /** Compacts all entries up to and including an index. */
  compactTo(index: number): void {
    if (index <= this.base.index) return;
    const term = this.termAt(index);
    if (term === undefined) throw new ConsensusError(`cannot compact to missing entry ${index}`);
    this.discard(this.entries.splice(0, index - this.base.index));
    this.base = { index, term };
  }

  /** Discards all entries and restarts the log at the position of a snapshot. */
  reset(position: LogPosition): void {
    this.base = position;
    this.discard(this.entries.splice(0));
  }

  /** Returns the lowest index after which the entries have at most the given length. */
  findIndexByLength(maxLength: number): number {
    let { textLength } = this;
    let count = 0;
    while (textLength > maxLength) {
      textLength -= estimatedLengthOf(this.entries[count]!);
      count += 1;
    }
    return this.base.index + count;
  }

  private discard(entries: LogEntry[]): void {
    for (const entry of entries) this.textLength -= estimatedLengthOf(entry);
  }

  /**
   * Returns whether a candidate's log that ends at the position is at least as up to date as this
   * log.
   */
  isCandidateUpToDate(position: LogPosition): boolean {
    if (position.term !== this.lastTerm) return position.term > this.lastTerm;
    return position.index >= this.lastIndex;
  }

  /**
   * Returns the last position at or below an index whose term is at most `term`. Two logs cannot
   * match after it, so one round trip skips a whole term of conflicting entries.
   */
  lastPositionUpTo(index: number, term: number): LogPosition {
    let candidate = Math.min(index, this.lastIndex);
    while (candidate >= this.base.index && this.termAt(candidate)! > term) candidate -= 1;
    return { index: candidate, term: this.termAt(candidate) ?? 0 };
  }
}
