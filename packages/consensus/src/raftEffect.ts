import type { HardState, LogEntry, Snapshot } from '@lagoongap/storage/logStore.js';

import type { RaftMessage } from './raftMessage.js';
import type { Membership, RoleChange } from './replicatedLog.js';

/** Changes to make durable, in the order hard state, snapshot, entries. */
export interface PendingWrite {
  /** Identifies the write when its completion is reported. */
  id: number;
  hardState?: HardState;
  /** Snapshot from the leader that replaces the whole log. */
  snapshot?: Snapshot;
  entries?: LogEntry[];
}

/** Effect that the driver of a core must execute; effects are executed in order. */
export type RaftEffect =
  | { type: 'send'; message: RaftMessage }
  /** At most one write is in flight; the driver must report its completion. */
  | { type: 'write'; write: PendingWrite }
  /** Committed entries to apply, in log order and without gaps. */
  | { type: 'apply'; entries: LogEntry[] }
  /** Snapshot that replaces the whole state of the state machine. */
  | { type: 'restore'; snapshot: Snapshot }
  /** Requests a snapshot of the state machine, which has just applied `index`. */
  | { type: 'take-snapshot'; index: number; term: number; membership: Membership }
  | { type: 'role'; change: RoleChange };
