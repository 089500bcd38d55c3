import type { LogStore } from '@lagoongap/storage/logStore.js';

import type { RaftTiming } from './raftTiming.js';
import type { RaftTransport } from './raftTransport.js';
import type { StateMachine } from './replicatedLog.js';

/** Options of a {@link RaftReplica}. */
export interface RaftReplicaOptions {
  /** Instance id of this process. */
  instanceId: string;
  /**
   * Instance ids of the initial voters if this process may bootstrap a new cluster; must be the
   * same on all of them. Has no effect if the store already has a log.
   */
  bootstrapVoters?: string[];
  /** Log store of this replica; the caller disposes of it after the replica. */
  store: LogStore;
  transport: RaftTransport;
  /** State machine to apply committed commands to; commands and state must be JSON-safe. */
  stateMachine: StateMachine;
  timing?: RaftTiming;
  /** Number of applied entries after which a snapshot is taken. */
  snapshotEntries?: number;
  /** Length of applied entries after which a snapshot is taken, as JSON text; 32 Mi by default. */
  snapshotLength?: number;
  /** Minimum time between two batches of proposals in milliseconds; 0 disables batching. */
  batchIntervalMs?: number;
  /**
   * Start of this process on the monotonic clock, by which every earlier process on the same log
   * had ended. By default the time at which the log has been loaded.
   */
  processStartMs?: number;
  /** Returns numbers in [0, 1). */
  random?: () => number;
  /** Called once if the replica has stopped because of an error. */
  onFatal: (error: Error) => void;
}
