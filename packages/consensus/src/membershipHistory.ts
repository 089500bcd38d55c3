import type { LogEntry } from '@lagoongap/storage/logStore.js';

import type { Membership } from './replicatedLog.js';
import { lastOf } from './lastOf.js';

interface MembershipRecord {
  index: number;
  membership: Membership;
}

/** Memberships in log order; the last one takes effect as soon as it is appended. */
export class MembershipHistory {
  private history: MembershipRecord[];

  constructor(base: MembershipRecord) {
    this.history = [base];
  }

  /** Membership currently in effect. */
  get current(): Membership {
    return lastOf(this.history)!.membership;
  }

  /** Index of the log entry with the membership currently in effect. */
  get currentIndex(): number {
    return lastOf(this.history)!.index;
  }

  /** Returns the membership that is in effect at an index. */
  at(index: number): Membership {
    const found = lastOf(this.history.filter((item) => item.index <= index));
    return (found ?? this.history[0]!).membership;
  }

  /** Records the membership entries among newly appended entries. */
  append(entries: LogEntry[]): void {
    for (const entry of entries) {
      if (entry.type !== 'membership') continue;
      this.history.push({ index: entry.index, membership: entry.data as Membership });
    }
  }

  /** Removes memberships at and after an index. */
  truncateFrom(index: number): void {
    this.history = this.history.filter((item, at) => at === 0 || item.index < index);
  }

  /** Removes memberships that are superseded at an index. */
  compactTo(index: number): void {
    const coveredCount = this.history.filter((item) => item.index <= index).length;
    if (coveredCount > 1) this.history.splice(0, coveredCount - 1);
  }

  /** Replaces the history with the membership of a snapshot. */
  reset(index: number, membership: Membership): void {
    this.history = [{ index, membership }];
  }
}
