import type { Resources } from '@lagoongap/model/resources.js';
import type { WorkloadKind, WorkUnit } from '@lagoongap/model/workload.js';

import type { BlockedSize } from './blockedSizes.js';

/** Minimum number of stale entries for a compaction. */
const COMPACTION_THRESHOLD = 64;

/** Waiting unit with the tasks that remain to be placed. */
export interface WaitingEntry {
  readonly unit: WorkUnit;
  /** Task indexes to place, in descending order, so that the next one is popped cheaply. */
  readonly pending: number[];
  /** Indexes of tasks for which an earlier attempt still holds a reservation. */
  readonly deferred: number[];
  readonly shape: WaitingShape;
  /** False once the unit has left the queue; the entry is skipped and removed lazily. */
  isWaiting: boolean;
  /** Suspended until an earlier attempt of one of its tasks is released. */
  isParked: boolean;
  /** Version of holds and free capacity at the last try with held capacity; -1 if unknown. */
  lastTriedVersion: number;
}

/** Properties that are equal for all units of a shape. */
export interface ShapeProperties {
  readonly key: string;
  readonly team: string;
  readonly priority: number;
  readonly kind: WorkloadKind;
  readonly work: string;
  readonly declared: Resources;
  readonly excluded: readonly string[];
  /** Number of tasks of a gang; 1 for all other kinds. */
  readonly count: number;
}

function compareArrival(a: WaitingEntry, b: WaitingEntry): number {
  return a.unit.enqueuedAtMs - b.unit.enqueuedAtMs;
}

function isSchedulable(entry: WaitingEntry): boolean {
  return entry.isWaiting && !entry.isParked;
}

/**
 * Waiting units of one team and priority class with equal placement properties, in order of
 * arrival. If the first one fits nowhere, none of them does.
 */
export class WaitingShape {
  private entries: WaitingEntry[] = [];
  private head = 0;
  /** Number of schedulable units, without those that were removed or parked. */
  size = 0;
  /** Freed version of the kind of work at which the first unit fitted nowhere; -1 if unknown. */
  blockedVersion = -1;
  /** Entry of the size that fitted nowhere; shared with other shapes. */
  blockedSize: BlockedSize | undefined;
  /** Time since which the first unit fits nowhere; undefined while it fits or is at a limit. */
  blockedSinceMs: number | undefined;
  /** Whether the team's upper limit rather than missing capacity blocks the first unit. */
  isAtLimit = false;
  /** Earliest time of the next search for victims. */
  nextPreemptionAtMs = 0;
  /** Earliest time of the next try; limits the rate of expensive searches for gangs. */
  retryAtMs = 0;
  /** Whether the lane lists the shape. */
  isListed = false;

  constructor(readonly properties: ShapeProperties) {}

  /** Arrival of the first schedulable unit; Infinity if there is none. */
  get arrivedAtMs(): number {
    return this.peek()?.unit.enqueuedAtMs ?? Infinity;
  }

  /** Inserts a unit in order of arrival; returns whether it is the first one now. */
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

  /** Returns the first schedulable unit. */
  peek(): WaitingEntry | undefined {
    while (this.head < this.entries.length) {
      const entry = this.entries[this.head]!;
      if (isSchedulable(entry)) return entry;
      this.head += 1;
    }
    this.entries = [];
    this.head = 0;
    return undefined;
  }

  /** Removes a unit that was taken out or parked; returns whether it was the first one. */
  remove(entry: WaitingEntry): boolean {
    this.size -= 1;
    const { entries } = this;
    while (this.head < entries.length && entries[this.head] !== entry) {
      if (isSchedulable(entries[this.head]!)) break;
      this.head += 1;
    }
    const wasFirst = entries[this.head] === entry;
    const staleCount = this.entries.length - this.size;
    if (staleCount > COMPACTION_THRESHOLD && staleCount > this.entries.length / 2) this.compact();
    return wasFirst;
  }

  /** Returns the schedulable units in order of arrival. */
  listEntries(): WaitingEntry[] {
    return this.entries.slice(this.head).filter(isSchedulable);
  }

  /** Returns the first schedulable units, at most `count`. */
  listFirst(count: number): WaitingEntry[] {
    const first: WaitingEntry[] = [];
    for (let i = this.head; i < this.entries.length && first.length < count; i++) {
      if (isSchedulable(this.entries[i]!)) first.push(this.entries[i]!);
    }
    return first;
  }

  private compact(): void {
    this.entries = this.listEntries();
    this.head = 0;
  }
}
