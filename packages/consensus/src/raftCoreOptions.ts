import type { HardState, LogEntry, Snapshot } from '@lagoongap/storage/logStore.js';

import type { RaftTiming } from './raftTiming.js';

/** Options of a {@link RaftCore}. */
export interface RaftCoreOptions {
  replicaId: string;
  timing: RaftTiming;
  /** Returns numbers in [0, 1); spreads the election timeouts. */
  random: () => number;
  /** Number of applied entries after which a snapshot is taken; as many stay in memory. */
  snapshotEntries: number;
  /** Largest number of entries in one message. */
  maxMessageEntries?: number;
  /** Largest part of a snapshot in one message, in UTF-16 code units of its JSON text. */
  maxSnapshotText?: number;
  /** What storage holds. */
  hardState: HardState;
  snapshot?: Snapshot;
  entries: LogEntry[];
  /** Time on the monotonic clock at which the replica starts. */
  nowMs: number;
}
