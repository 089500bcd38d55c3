import type { HardState, LogEntry, Snapshot } from '@lagoongap/storage/logStore.js';

import type { RaftMessage } from './raftMessage.js';
import type { Membership, RoleChange } from './replicatedLog.js';

/** Changes that must be durable, in the order hard state, snapshot, entries. */
export interface PendingWrite {
  /** Number to report back when the write has completed. */
  id: number;
  hardState?: HardState;
  /** Snapshot of the leader that replaces the whole log. */
  snapshot?: Snapshot;
  entries?: LogEntry[];
}

/** Effect that the driver of a core carries out; effects are carried out in order. */
export type RaftEffect =
  | { type: 'send'; message: RaftMessage }
  /** At most one write is in flight; the driver reports its completion. */
  | { type: 'write'; write: PendingWrite }
  /** Committed entries, in order and without gaps. */
  | { type: 'apply'; entries: LogEntry[] }
  /** Committed state that replaces the whole state. */
  | { type: 'restore'; snapshot: Snapshot }
  /** Asks for a snapshot of the state, which has just reached `index`. */
  | { type: 'take-snapshot'; index: number; term: number; membership: Membership }
  | { type: 'role'; change: RoleChange };
