import type { LogStore } from '@lagoongap/storage/logStore.js';

import type { RaftTiming } from './raftTiming.js';
import type { RaftTransport } from './raftTransport.js';
import type { StateMachine } from './replicatedLog.js';

/** Options of a {@link RaftReplica}. */
export interface RaftReplicaOptions {
  /** Instance id of this process. */
  instanceId: string;
  /**
   * Instance ids of the initial voters, the same on each of them, if this boot may start a new
   * cluster. It has no effect on a folder that holds a log.
   */
  bootstrapVoters?: string[];
  /** Log of this replica; the caller disposes of it after the replica. */
  store: LogStore;
  transport: RaftTransport;
  /** State that committed commands are applied to; commands and state must be JSON-safe. */
  stateMachine: StateMachine;
  timing?: RaftTiming;
  /** Number of applied entries after which a snapshot is taken. */
  snapshotEntries?: number;
  /** Shortest time between two appends of proposals in milliseconds; 0 for none. */
  batchMs?: number;
  /** Returns numbers in [0, 1). */
  random?: () => number;
  /** Called once if the replica has stopped because of an error. */
  onFatal: (error: Error) => void;
}
