import type { LogEntry } from '@lagoongap/storage/logStore.js';

import { ConsensusError } from './consensusError.js';
import { lastOf } from './lastOf.js';

/** Position in the log. */
export interface LogPosition {
  index: number;
  term: number;
}

/** Entries in memory after a base that has been compacted. */
export class RaftLog {
  private base: LogPosition;
  private entries: LogEntry[] = [];

  /**
   * @param base - Last compacted position; index 0 and term 0 if there is none.
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

  get lastTerm(): number {
    return lastOf(this.entries)?.term ?? this.base.term;
  }

  /** Returns the term at an index, or undefined if it is compacted or not there yet. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entries[index - this.base.index - 1]?.term;
  }

  /** Returns up to `limit` entries from an index on, which must lie after the base. */
  slice(fromIndex: number, limit: number): LogEntry[] {
    const start = fromIndex - this.base.index - 1;
    return this.entries.slice(start, start + limit);
  }

  /** Appends entries that follow the last one. */
  append(entries: LogEntry[]): void {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1) {
        throw new ConsensusError(
          `entry ${entry.index} does not follow the last entry ${this.lastIndex}`,
        );
      }
      this.entries.push(entry);
    }
  }

  /** Drops all entries from an index on. */
  truncateFrom(index: number): void {
    this.entries.length = Math.max(0, index - this.base.index - 1);
  }

  /** Drops all entries up to and including an index. */
  compactTo(index: number): void {
    if (index <= this.base.index) return;
    const term = this.termAt(index);
    if (term === undefined) throw new ConsensusError(`entry ${index} is not in the log`);
    this.entries.splice(0, index - this.base.index);
    this.base = { index, term };
  }

  /** Replaces the whole log by the position of a snapshot. */
  reset(position: LogPosition): void {
    this.base = position;
    this.entries = [];
  }

  /** Tells whether a log that ends at the position is at least as up to date as this one. */
  isCoveredBy(position: LogPosition): boolean {
    if (position.term !== this.lastTerm) return position.term > this.lastTerm;
    return position.index >= this.lastIndex;
  }

  /**
   * Returns the last position at or below an index whose term is not above `term`. Two logs
   * cannot agree after it, so a whole term is skipped in one round trip.
   */
  lastPositionNotAbove(index: number, term: number): LogPosition {
    let candidate = Math.min(index, this.lastIndex);
    while (candidate >= this.base.index && this.termAt(candidate)! > term) candidate -= 1;
    return { index: candidate, term: this.termAt(candidate) ?? 0 };
  }
}
