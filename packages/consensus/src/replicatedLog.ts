/** Role of a replica in its term. */
export type ReplicaRole = 'leader' | 'follower' | 'candidate' | 'learner';

/** A committed command. */
export interface CommittedEntry {
  index: number;
  term: number;
  /** Part of the log, which may still be sent to other replicas; must not be changed. */
  command: unknown;
}

/** Deterministic state that committed commands are applied to. */
export interface StateMachine {
  /** Applies a command and returns its result; must depend on nothing but state and entry. */
  apply(entry: CommittedEntry): unknown;
  /** Returns the whole state as plain data that msgpack can encode. */
  snapshot(): unknown;
  /** Replaces the whole state. */
  restore(snapshot: unknown): void;
}

/** What a replica became. */
export interface RoleChange {
  role: ReplicaRole;
  term: number;
  /** Instance id of the leader, if known. */
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
  /** What the state machine returned. */
  result: unknown;
}

/** The replicated log as the rest of the system sees it. */
export interface ReplicatedLog extends AsyncDisposable {
  readonly role: ReplicaRole;
  readonly term: number;
  readonly leaderId: string | undefined;
  /** Index of the last command applied to the state machine. */
  readonly appliedIndex: number;
  /**
   * Resolves after the command is committed and applied here.
   * Rejects with NotLeaderError if it was certainly not appended, and with
   * CommitUnknownError if leadership ended before the commit was seen.
   */
  propose(command: unknown): Promise<ProposeResult>;
  /** Tells whether leader validity holds at this moment. */
  isLeaderValid(): boolean;
  /** Resolves once this leader has applied every entry committed before its term. */
  whenReadyToLead(): Promise<void>;
  /** Calls `listener` on each change; returns a function that unsubscribes. */
  onRoleChange(listener: (change: RoleChange) => void): () => void;
  members(): Membership;
  /** Changes the members, by replica id; resolves when the change is committed. */
  addLearner(replicaId: string): Promise<void>;
  promote(replicaId: string): Promise<void>;
  removeMember(replicaId: string): Promise<void>;
  /** Tells whether a learner has caught up, so that promoting it costs no availability. */
  isCaughtUp(replicaId: string): boolean;
  /** Hands leadership to `to` (instance id or replica id), or to the voter that is most up to date. */
  transferLeadership(to?: string): Promise<void>;
}
