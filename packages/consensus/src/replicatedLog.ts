/** Role of a replica in its current term. */
export type ReplicaRole = 'leader' | 'follower' | 'candidate' | 'learner';

/** Committed command with its log position. */
export interface CommittedEntry {
  index: number;
  term: number;
  /**
   * Command data shared with the log; must not be modified, because it may still be sent to other
   * replicas.
   */
  command: unknown;
}

/** Deterministic state machine to which committed commands are applied. */
export interface StateMachine {
  /**
   * Applies a command and returns its result, which must depend only on the state and the entry.
   */
  apply(entry: CommittedEntry): unknown;
  /** Returns the complete state as plain data that can be encoded as msgpack. */
  snapshot(): unknown;
  /** Replaces the complete state. */
  restore(snapshot: unknown): void;
}

/** New role of a replica. */
export interface RoleChange {
  role: ReplicaRole;
  term: number;
  /** Instance id of the current leader, if known. */
  leaderId?: string;
}

/** Voting and non-voting members, by replica id (`<instance id>/<suffix>`). */
export interface Membership {
  voters: string[];
  learners: string[];
}

/** Result of a committed proposal. */
export interface ProposeResult {
  /** Log index, strictly increasing over all commits. */
  index: number;
  /** Result of the state machine. */
  result: unknown;
}

/** Replicated log as used by the rest of the system. */
export interface ReplicatedLog extends AsyncDisposable {
  readonly role: ReplicaRole;
  readonly term: number;
  readonly leaderId: string | undefined;
  /**
   * Monotonic time by which the validity of every earlier leader had ended; defined only while this
   * replica leads.
   */
  readonly predecessorEndMs: number | undefined;
  /** Index of the last entry applied to the state machine. */
  readonly appliedIndex: number;
  /**
   * Resolves once the command is committed and applied on this replica. Rejects with NotLeaderError
   * if it was certainly not appended, and with CommitUnknownError if leadership ended before the
   * command was known to be committed.
   */
  propose(command: unknown): Promise<ProposeResult>;
  /** Returns whether this replica is a valid leader at this moment. */
  isLeaderValid(): boolean;
  /**
   * Monotonic time in milliseconds at which a majority certainly followed this leader; -Infinity if
   * this replica is not the leader.
   */
  readonly quorumContactMs: number;
  /** Resolves once this leader has applied every entry committed before its term. */
  whenReadyToLead(): Promise<void>;
  /** Registers a listener for role changes; returns a function that unsubscribes it. */
  onRoleChange(listener: (change: RoleChange) => void): () => void;
  members(): Membership;
  /** Adds a learner, by replica id; resolves once the change is committed. */
  addLearner(replicaId: string): Promise<void>;
  /** Makes a learner a voter; resolves once the change is committed. */
  promote(replicaId: string): Promise<void>;
  /** Removes a voter or a learner; resolves once the change is committed. */
  removeMember(replicaId: string): Promise<void>;
  /** Returns whether a learner has caught up, so that promoting it does not reduce availability. */
  isCaughtUp(replicaId: string): boolean;
  /**
   * Transfers leadership to `to` (instance id or replica id), by default to the most up-to-date
   * voter.
   */
  transferLeadership(to?: string): Promise<void>;
}
