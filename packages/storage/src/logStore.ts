/** Term and vote, which must be durable before a message that depends on them is sent. */
export interface HardState {
  term: number;
  /** Replica id that got this replica's vote in `term`. */
  votedFor?: string;
}

/** Kind of a log entry. */
export type LogEntryType = 'command' | 'membership' | 'no-op';

/** An entry of the replicated log. */
export interface LogEntry {
  index: number;
  term: number;
  type: LogEntryType;
  data: unknown;
}

/** State up to and including `index`. */
export interface Snapshot {
  index: number;
  term: number;
  /** Membership in force at `index`. */
  membership: { voters: string[]; learners: string[] };
  /** Plain data that msgpack can encode. */
  data: unknown;
}

/** What a replica finds on its disk when it starts. */
export interface StoredLog {
  /** Id of this replica; undefined if the folder is new. */
  replicaId?: string;
  hardState: HardState;
  snapshot?: Snapshot;
  /** Entries after the snapshot, without gaps. */
  entries: LogEntry[];
}

/** Changes that are written and synced together. */
export interface LogWrite {
  hardState?: HardState;
  /** Entries to append; an entry replaces all stored entries from its index on. */
  entries?: LogEntry[];
}

/**
 * Durable log of one replica. Any error from a method is final: the replica must stop.
 */
export interface LogStore extends AsyncDisposable {
  /** Reads everything; called once, before any write. */
  load(): Promise<StoredLog>;
  /** Stores the replica id of a new folder. */
  writeIdentity(replicaId: string): Promise<void>;
  /** Resolves when the data is synced to disk. Calls must not overlap. */
  write(write: LogWrite): Promise<void>;
  /** Stores a snapshot durably, then drops what it covers. */
  saveSnapshot(snapshot: Snapshot): Promise<void>;
}
