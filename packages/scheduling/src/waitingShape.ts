import type { Resources } from '@lagoongap/model/resources.js';
import type { WorkloadKind, WorkUnit } from '@lagoongap/model/workload.js';

import type { BlockedSize } from './blockedSizes.js';

/** Least number of dead entries that is worth a compaction. */
const COMPACTION_THRESHOLD = 64;

/** A unit that waits, with the tasks that are still to be placed. */
export interface WaitingEntry {
  readonly unit: WorkUnit;
  /** Task indexes to place, last one first, so that taking one is cheap. */
  readonly pending: number[];
  /** Task indexes of which an earlier attempt still holds a reservation. */
  readonly deferred: number[];
  readonly shape: WaitingShape;
  /** False once the unit has left the queue; the entry is dropped when it is reached. */
  isWaiting: boolean;
  /** Out of line until an earlier attempt of one of its tasks is released. */
  isParked: boolean;
  /** State of holds and free capacity at the last try with held capacity; -1 if not known. */
  triedStamp: number;
}

/** What makes waiting units alike for placement. */
export interface ShapeProperties {
  readonly key: string;
  readonly team: string;
  readonly priority: number;
  readonly kind: WorkloadKind;
  readonly work: string;
  readonly declared: Resources;
  readonly excluded: readonly string[];
  /** Tasks of a gang; 1 for all other kinds. */
  readonly count: number;
}

function compareArrival(a: WaitingEntry, b: WaitingEntry): number {
  return a.unit.enqueuedAtMs - b.unit.enqueuedAtMs;
}

function isInLine(entry: WaitingEntry): boolean {
  return entry.isWaiting && !entry.isParked;
}

/**
 * Waiting units of one team and class that are alike for placement, in order
 * of arrival. If the first one fits nowhere, none of them does.
 */
export class WaitingShape {
  private entries: WaitingEntry[] = [];
  private head = 0;
  /** Units in line, without those that were removed or parked. */
  size = 0;
  /** Freed version of the kind of work at which the first unit fitted nowhere; -1 if not known. */
  blockedVersion = -1;
  /** Mark of the size that fitted nowhere; shared with other shapes. */
  blockedSize: BlockedSize | undefined;
  /** Since when the first unit fits nowhere; undefined while it fits or is at a limit. */
  blockedSinceMs: number | undefined;
  /** The team's upper limit, not the capacity, is in the way of the first unit. */
  isAtLimit = false;
  /** Earliest time of the next attempt to have other work give way. */
  planAtMs = 0;
  /** Earliest time of the next try; keeps expensive searches for gangs apart. */
  retryAtMs = 0;
  /** The lane lists the shape. */
  isListed = false;

  constructor(readonly properties: ShapeProperties) {}

  /** Arrival of the first unit; Infinity if the line is empty. */
  get arrivedAtMs(): number {
    return this.peek()?.unit.enqueuedAtMs ?? Infinity;
  }

  /** Adds a unit at its place by arrival; tells whether it is the first one now. */
  insert(entry: WaitingEntry): boolean {
    this.size += 1;
    const last = this.entries[this.entries.length - 1];
    if (!last || this.head === this.entries.length || compareArrival(last, entry) <= 0) {
      this.entries.push(entry);
      return this.size === 1;
    }
    let low = this.head;
    let high = this.entries.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (compareArrival(this.entries[middle]!, entry) <= 0) low = middle + 1;
      else high = middle;
    }
    this.entries.splice(low, 0, entry);
    return low === this.head;
  }

  /** Returns the first unit in line. */
  peek(): WaitingEntry | undefined {
    while (this.head < this.entries.length) {
      const entry = this.entries[this.head]!;
      if (isInLine(entry)) return entry;
      this.head += 1;
    }
    this.entries = [];
    this.head = 0;
    return undefined;
  }

  /** Takes note that a unit has left the line; tells whether it was the first one. */
  forget(entry: WaitingEntry): boolean {
    this.size -= 1;
    const { entries } = this;
    while (this.head < entries.length && entries[this.head] !== entry) {
      if (isInLine(entries[this.head]!)) break;
      this.head += 1;
    }
    const wasFirst = entries[this.head] === entry;
    const dead = this.entries.length - this.size;
    if (dead > COMPACTION_THRESHOLD && dead > this.entries.length / 2) this.compact();
    return wasFirst;
  }

  /** Units in line, in order of arrival. */
  listEntries(): WaitingEntry[] {
    return this.entries.slice(this.head).filter(isInLine);
  }

  /** The first units in line, at most `count`. */
  listFirst(count: number): WaitingEntry[] {
    const first: WaitingEntry[] = [];
    for (let i = this.head; i < this.entries.length && first.length < count; i++) {
      if (isInLine(this.entries[i]!)) first.push(this.entries[i]!);
    }
    return first;
  }

  private compact(): void {
    this.entries = this.listEntries();
    this.head = 0;
  }
}
