import type { HardState, LogEntry, Snapshot } from '@lagoongap/storage/logStore.js';

import type { RaftTiming } from './raftTiming.js';

/** Options of a {@link RaftCore}. */
export interface RaftCoreOptions {
  replicaId: string;
  timing: RaftTiming;
  /** Returns numbers in [0, 1); randomizes the election timeouts and the snapshot intervals. */
  random: () => number;
  /**
   * Number of applied entries after which a snapshot is taken; as many entries are kept in memory
   * after a snapshot.
   */
  snapshotEntries: number;
  /**
   * Length of the entries after which a snapshot is taken even if they are fewer, as JSON text in
   * UTF-16 code units; entries of at most that length are kept in memory after a snapshot.
   */
  snapshotLength?: number;
  /** Maximum number of entries per append message. */
  maxMessageEntries?: number;
  /** Maximum length of a snapshot chunk in one message, in UTF-16 code units of the JSON text. */
  maxSnapshotChunkChars?: number;
  /** State loaded from the log store. */
  hardState: HardState;
  snapshot?: Snapshot;
  entries: LogEntry[];
  /** Start time on the monotonic clock. */
  nowMs: number;
  /**
   * Start of this process on the monotonic clock, by which every earlier process on the same log
   * had ended. By default the time at which the log has been loaded.
   */
  processStartMs?: number;
}
