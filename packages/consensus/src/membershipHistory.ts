import type { LogEntry } from '@lagoongap/storage/logStore.js';

import type { Membership } from './replicatedLog.js';
import { lastOf } from './lastOf.js';

interface MembershipAt {
  index: number;
  membership: Membership;
}

/** Memberships of the log in order; the last one is in force as soon as it is appended. */
export class MembershipHistory {
  private history: MembershipAt[];

  constructor(base: MembershipAt) {
    this.history = [base];
  }

  /** Membership in force. */
  get current(): Membership {
    return lastOf(this.history)!.membership;
  }

  /** Index of the entry that holds the membership in force. */
  get currentIndex(): number {
    return lastOf(this.history)!.index;
  }

  /** Returns the membership in force at an index. */
  at(index: number): Membership {
    const found = lastOf(this.history.filter((item) => item.index <= index));
    return (found ?? this.history[0]!).membership;
  }

  /** Takes the membership entries out of appended entries. */
  append(entries: LogEntry[]): void {
    for (const entry of entries) {
      if (entry.type !== 'membership') continue;
      this.history.push({ index: entry.index, membership: entry.data as Membership });
    }
  }

  /** Drops memberships from an index on. */
  truncateFrom(index: number): void {
    this.history = this.history.filter((item, at) => at === 0 || item.index < index);
  }

  /** Drops memberships that are superseded at an index. */
  compactTo(index: number): void {
    const coveredCount = this.history.filter((item) => item.index <= index).length;
    if (coveredCount > 1) this.history.splice(0, coveredCount - 1);
  }

  /** Replaces the whole history by the membership of a snapshot. */
  reset(index: number, membership: Membership): void {
    this.history = [{ index, membership }];
  }
}
