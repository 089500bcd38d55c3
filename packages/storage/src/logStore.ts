/**
 * Raft hard state: term and vote, which must be durable before any message that depends on them is
 * sent.
 */
export interface HardState {
  term: number;
  /** Replica id that received this replica's vote in `term`. */
  votedFor?: string;
}

/** Kind of a log entry. */
export type LogEntryType = 'command' | 'membership' | 'no-op';

/** Entry of the replicated log. */
export interface LogEntry {
  index: number;
  term: number;
  type: LogEntryType;
  data: unknown;
}

/** Snapshot of the state machine up to and including `index`. */
export interface Snapshot {
  index: number;
  term: number;
  /** Membership in effect at `index`. */
  membership: { voters: string[]; learners: string[] };
  /** State as plain data that can be encoded as msgpack. */
  data: unknown;
}

/** State that a replica loads at start. */
export interface StoredLog {
  /** Id of this replica; undefined if the store is new. */
  replicaId?: string;
  hardState: HardState;
  snapshot?: Snapshot;
  /** Entries after the snapshot, without gaps. */
  entries: LogEntry[];
}

/** Changes to write and sync together. */
export interface LogWrite {
  hardState?: HardState;
  /** Entries to append; the first one replaces all stored entries from its index on. */
  entries?: LogEntry[];
}

/** Durable log of one replica. After an error from any method the replica must stop. */
export interface LogStore extends AsyncDisposable {
  /** Loads the stored state; must be called once, before any write. */
  load(): Promise<StoredLog>;
  /** Stores the replica id in a new store. */
  writeIdentity(replicaId: string): Promise<void>;
  /** Resolves once the changes are synced to disk. Calls must not overlap. */
  write(write: LogWrite): Promise<void>;
  /** Stores a snapshot durably, then deletes the log entries that it covers. */
  saveSnapshot(snapshot: Snapshot): Promise<void>;
}
