import type { LogEntry, Snapshot } from '@lagoongap/storage/logStore.js';

import { MembershipHistory } from './membershipHistory.js';
import type { RaftCoreOptions } from './raftCoreOptions.js';
import type { RaftEffect } from './raftEffect.js';
import { RaftLog } from './raftLog.js';
import type { RaftMessage } from './raftMessage.js';
import { instanceIdOf } from './replicaId.js';
import type { ReplicaRole } from './replicatedLog.js';
import { LeaderLease } from './leaderLease.js';
import { WriteQueue } from './writeQueue.js';

/** Protocol role; a pre-candidate requests pre-votes without incrementing the term. */
export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/** State shared by all parts of the core. */
export class RaftState {
  role: RaftRole = 'follower';
  term: number;
  votedFor: string | undefined;
  /** Replica id of the leader of the current term. */
  leader: string | undefined;
  commitIndex: number;
  /** Last index passed to the state machine. */
  appliedIndex: number;
  /** Latest snapshot that is stored or about to be stored. */
  snapshot: Snapshot | undefined;
  nowMs: number;
  electionDeadlineMs = 0;
  /** Time until which this replica has been a valid leader. */
  lastValidMs = -Infinity;
  /** Rounds without a result since the last full election timeout. */
  private failedRounds = 0;
  readonly log: RaftLog;
  readonly memberships: MembershipHistory;
  readonly writes: WriteQueue;
  readonly leaderLease: LeaderLease;
  readonly effects: RaftEffect[] = [];

  constructor(readonly options: RaftCoreOptions) {
    const { hardState, snapshot, nowMs, timing } = options;
    const base = { index: snapshot?.index ?? 0, term: snapshot?.term ?? 0 };
    // Entries with a lower term than the snapshot were discarded when it was installed, but the
    // store keeps them until they are overwritten.
    const entries = options.entries.filter((entry) => entry.term >= base.term);
    this.nowMs = nowMs;
    this.term = hardState.term;
    this.votedFor = hardState.votedFor;
    this.snapshot = snapshot;
    this.commitIndex = base.index;
    this.appliedIndex = base.index;
    this.log = new RaftLog(base, entries);
    const membership = snapshot?.membership ?? { voters: [], learners: [] };
    this.memberships = new MembershipHistory({ index: base.index, membership });
    this.memberships.append(entries);
    this.writes = new WriteQueue(this.log.lastIndex);
    const startedAtMs = Math.min(nowMs, options.processStartMs ?? nowMs);
    this.leaderLease = new LeaderLease(startedAtMs, timing.electionMinMs);
    this.startFirstTimer(nowMs - startedAtMs);
  }

  get replicaId(): string {
    return this.options.replicaId;
  }

  get voters(): string[] {
    return this.memberships.current.voters;
  }

  /** Whether this replica is a voter in its latest known membership. */
  get isVoter(): boolean {
    return this.voters.includes(this.replicaId);
  }

  /** Role as reported to callers of the replica. */
  get publicRole(): ReplicaRole {
    if (this.role === 'leader') return 'leader';
    if (this.role !== 'follower') return 'candidate';
    return this.isVoter ? 'follower' : 'learner';
  }

  /** Instance id of the leader of the current term. */
  get leaderInstanceId(): string | undefined {
    return this.leader === undefined ? undefined : instanceIdOf(this.leader);
  }

  /** Time since this replica last heard from a leader or was a valid leader itself. */
  get contactAgeMs(): number {
    return this.nowMs - Math.max(this.leaderLease.lastContactMs, this.lastValidMs);
  }

  /** Records until when this replica was a valid leader; a later leadership may never be valid. */
  recordValidity(untilMs: number): void {
    this.lastValidMs = Math.max(this.lastValidMs, Math.min(this.nowMs, untilMs));
  }

  /**
   * Starts the first election timer. The time since the start of the process counts, as no leader
   * can have reached this replica meanwhile. At least a part of a heartbeat interval remains, which
   * differs between replicas that start together.
   */
  private startFirstTimer(elapsedMs: number): void {
    this.resetElectionTimer();
    const { heartbeatMs, electionMaxMs } = this.options.timing;
    const timeoutMs = this.electionDeadlineMs - this.nowMs;
    const minMs = heartbeatMs * (timeoutMs / electionMaxMs);
    this.electionDeadlineMs = this.nowMs + Math.max(timeoutMs - elapsedMs, minMs);
  }

  /** Restarts the election timer with a new random timeout. */
  resetElectionTimer(): void {
    const { electionMinMs, electionMaxMs } = this.options.timing;
    this.failedRounds = 0;
    this.setElectionTimer(electionMinMs, electionMaxMs);
  }

  /**
   * Restarts the election timer for the next round of an election that has begun. A round takes a
   * round trip and a disk sync, so the first retries follow sooner than a full election timeout;
   * voters still refuse while a leader may be valid. The delay doubles with each round, so that
   * slow disks and networks get the time that they need.
   */
  startRetryTimer(): void {
    const { heartbeatMs, electionMinMs, electionMaxMs } = this.options.timing;
    const minMs = heartbeatMs * 2 ** this.failedRounds;
    if (minMs >= electionMinMs) this.setElectionTimer(electionMinMs, electionMaxMs);
    else this.setElectionTimer(minMs, Math.min(2 * minMs, electionMaxMs));
  }

  /** Extends the election timer to at least one heartbeat interval. */
  deferElection(): void {
    const { heartbeatMs } = this.options.timing;
    this.electionDeadlineMs = Math.max(this.electionDeadlineMs, this.nowMs + heartbeatMs);
  }

  /** Records that a round of an election has ended without a leader. */
  recordFailedRound(): void {
    this.failedRounds += 1;
  }

  private setElectionTimer(minMs: number, maxMs: number): void {
    this.electionDeadlineMs = this.nowMs + minMs + this.options.random() * (maxMs - minMs);
  }

  /** Sets term and vote, and stages them for the next write. */
  setTerm(term: number, votedFor: string | undefined): void {
    this.term = term;
    this.votedFor = votedFor;
    this.writes.stageHardState({ term, votedFor });
  }

  /**
   * Appends entries to the log and stages them for the next write, replacing all entries from the
   * first one's index on.
   */
  appendEntries(entries: LogEntry[]): void {
    const first = entries[0];
    if (first === undefined) return;
    this.log.truncateFrom(first.index);
    this.memberships.truncateFrom(first.index);
    this.log.append(entries);
    this.memberships.append(entries);
    this.writes.stageEntries(entries);
  }

  /** Sends a message immediately. */
  send(message: RaftMessage): void {
    this.effects.push({ type: 'send', message });
  }

  /** Sends a message once everything staged so far is durable. */
  sendWhenDurable(message: RaftMessage): void {
    if (this.writes.isIdle) this.send(message);
    else this.writes.deferMessage(message);
  }
}
