import { Elections } from './elections.js';
import { Follower } from './follower.js';
import { Leader } from './leader.js';
import { LeadershipTransfer } from './leadershipTransfer.js';
import { applyMembershipChange, type MembershipChange } from './membershipChange.js';
import { MembershipChangeError } from './membershipChangeError.js';
import { NotLeaderError } from './notLeaderError.js';
import type { RaftCoreOptions } from './raftCoreOptions.js';
import type { RaftEffect } from './raftEffect.js';
import type { RaftMessage, VoteMessage } from './raftMessage.js';
import { RaftState } from './raftState.js';
import type { Membership, ReplicaRole, RoleChange } from './replicatedLog.js';
import { SnapshotPolicy } from './snapshotPolicy.js';

/** Position of an appended entry in the log. */
export interface AppendedEntry {
  index: number;
  term: number;
}

/**
 * Implements Raft as a synchronous state machine without timers or I/O. Every input carries the
 * current time. `takeEffects` returns the effects to execute and is called after one or more
 * inputs; all proposals between two calls share one write and one message per member.
 */
export class RaftCore {
  protected readonly state: RaftState;
  private readonly elections: Elections;
  private readonly follower: Follower;
  private readonly snapshots: SnapshotPolicy;
  protected leader: Leader | undefined;
  private transfer: LeadershipTransfer | undefined;
  private announcedRole: RoleChange;

  constructor(options: RaftCoreOptions) {
    this.state = new RaftState(options);
    this.follower = new Follower(this.state);
    this.snapshots = new SnapshotPolicy(this.state);
    this.elections = new Elections(
      this.state,
      () => this.isLeaderLeaseActive(),
      () => this.becomeLeader(),
    );
    this.announcedRole = this.currentRole();
  }

  get replicaId(): string {
    return this.state.replicaId;
  }

  get role(): ReplicaRole {
    return this.state.publicRole;
  }

  get term(): number {
    return this.state.term;
  }

  /** Instance id of the current leader, if known. */
  get leaderId(): string | undefined {
    return this.state.leaderInstanceId;
  }

  get commitIndex(): number {
    return this.state.commitIndex;
  }

  get lastIndex(): number {
    return this.state.log.lastIndex;
  }

  /** Membership in effect, by replica id. */
  get membership(): Membership {
    return this.state.memberships.current;
  }

  /** Index of the first entry of the current term; defined only on the leader. */
  get termStartIndex(): number | undefined {
    return this.leader?.termStartIndex;
  }

  /** Time by which the validity of every earlier leader had ended; defined only on the leader. */
  get predecessorEndMs(): number | undefined {
    return this.leader && this.elections.predecessorEndMs;
  }

  /** Returns whether this replica is a valid leader at the given time. */
  isLeaderValid(nowMs: number): boolean {
    this.advanceClock(nowMs);
    if (this.leader === undefined || this.transfer?.isTimeoutNowSent) return false;
    return this.state.nowMs < this.leader.validUntilMs;
  }

  /** Time at which a majority certainly followed this leader; -Infinity on other replicas. */
  get quorumContactMs(): number {
    return this.leader?.quorumContactMs ?? -Infinity;
  }

  /**
   * Returns whether a member has durably stored everything that was committed one heartbeat ago.
   */
  isCaughtUp(replicaId: string): boolean {
    return this.leader?.isCaughtUp(replicaId) ?? false;
  }

  /** Advances the clock; must be called several times per heartbeat interval. */
  tick(nowMs: number): void {
    this.advanceClock(nowMs);
    if (this.leader !== undefined) this.tickLeader(this.leader);
    else if (this.state.nowMs >= this.state.electionDeadlineMs) this.startElection();
    this.announceRole();
  }

  /** Handles a message; ignores it if it is addressed to another replica id. */
  receive(message: RaftMessage, nowMs: number): void {
    this.advanceClock(nowMs);
    if (message.to !== this.state.replicaId) return;
    if (this.reconcileTerm(message)) this.dispatch(message);
    this.announceRole();
  }

  /** Appends a command; throws NotLeaderError if this replica is not a valid leader. */
  propose(command: unknown, nowMs: number): AppendedEntry {
    const leader = this.requireValidLeader(nowMs);
    return { index: leader.append('command', command), term: this.state.term };
  }

  /** Appends a membership change; throws NotLeaderError or MembershipChangeError. */
  proposeMembership(change: MembershipChange, nowMs: number): AppendedEntry {
    const leader = this.requireValidLeader(nowMs);
    const membership = applyMembershipChange(this.state, leader, change);
    const index = leader.appendMembership(membership);
    this.announceRole();
    return { index, term: this.state.term };
  }

  /**
   * Transfers leadership to a voter; proposals are refused until the transfer ends.
   *
   * @param target - Replica id; by default the responsive voter with the most up-to-date log.
   */
  transferLeadership(target: string | undefined, nowMs: number): void {
    const leader = this.requireValidLeader(nowMs);
    const to = target ?? leader.mostUpToDateVoter();
    if (to === undefined) throw new MembershipChangeError('no other voter responds');
    if (to === this.state.replicaId || !this.state.voters.includes(to)) {
      throw new MembershipChangeError(
        `cannot transfer leadership to ${to}: it is not another voter`,
      );
    }
    this.transfer = new LeadershipTransfer(this.state, to);
    this.advanceTransfer();
  }

  /** Handles the completion of a write. */
  onWriteCompleted(id: number, nowMs: number): void {
    this.advanceClock(nowMs);
    for (const message of this.state.writes.completeWrite(id)) this.sendDeferredMessage(message);
    this.leader?.advanceCommit();
    this.announceRole();
  }

  /** Handles the completion of a requested snapshot. */
  onSnapshotSaved(index: number, data: unknown): void {
    this.snapshots.onSaved(index, data);
  }

  /** Returns the pending effects in execution order. */
  takeEffects(): RaftEffect[] {
    const { state } = this;
    this.leader?.replicate();
    const write = state.writes.startWrite();
    if (write !== undefined) state.effects.push({ type: 'write', write });
    this.applyCommitted();
    return state.effects.splice(0);
  }

  /** Creates the leader; tests override it to disable single rules. */
  protected createLeader(): Leader {
    return new Leader(this.state);
  }

  private advanceClock(nowMs: number): void {
    this.state.nowMs = Math.max(this.state.nowMs, nowMs);
  }

  private tickLeader(leader: Leader): void {
    if (leader.hasLostQuorum || this.isRemoved(leader)) {
      this.becomeFollower(this.state.term, undefined);
      return;
    }
    if (this.transfer?.isExpired) {
      // The target may still win the election that it was asked to start, so validity is over.
      if (this.transfer.isTimeoutNowSent) {
        this.becomeFollower(this.state.term, undefined);
        return;
      }
      this.transfer = undefined;
    }
    leader.tick();
  }

  /** Returns whether the leader was removed; it leads until its removal is committed. */
  private isRemoved(leader: Leader): boolean {
    const { state } = this;
    const isCommitted = state.memberships.currentIndex <= state.commitIndex;
    return !state.isVoter && isCommitted && leader.hasCommittedInTerm;
  }

  private startElection(): void {
    const { state } = this;
    if (!state.isVoter) state.resetElectionTimer();
    // Requests that wait for the disk are not sent yet; another round would discard them.
    else if (!state.writes.isHardStateDurable) state.startRetryTimer();
    else this.elections.startPreVote();
  }

  /** Returns whether a leader may still be valid, so that no vote may be granted. */
  protected isLeaderLeaseActive(): boolean {
    if (this.leader !== undefined) return this.isLeaderValid(this.state.nowMs);
    return this.state.leaderLease.isActive(this.state.nowMs);
  }

  /** Updates the term from a message; returns false if the message needs no further handling. */
  private reconcileTerm(message: RaftMessage): boolean {
    const { state } = this;
    if (message.type === 'pre-vote') return true;
    if (message.type === 'pre-vote-reply' && message.granted) return true;
    if (message.type === 'vote' && this.isVoteRefused(message)) {
      this.elections.sendVoteReply(message, false);
      return false;
    }
    if (message.term > state.term) this.becomeFollower(message.term, undefined);
    if (message.term === state.term) return true;
    if (message.type === 'append' || message.type === 'snapshot') this.follower.reject(message);
    if (message.type === 'vote') this.elections.sendVoteReply(message, false);
    return false;
  }

  /**
   * Returns whether to refuse a vote request without adopting its term, which is the case while a
   * leader may still be valid.
   */
  private isVoteRefused(message: VoteMessage): boolean {
    return !message.isTransfer && this.isLeaderLeaseActive();
  }

  private dispatch(message: RaftMessage): void {
    switch (message.type) {
      case 'pre-vote':
        return this.elections.receivePreVote(message);
      case 'pre-vote-reply':
        return this.elections.receivePreVoteReply(message);
      case 'vote':
        return this.elections.receiveVote(message);
      case 'vote-reply':
        return this.elections.receiveVoteReply(message);
      case 'append':
        this.recordLeaderContact(message.from);
        return this.follower.receiveAppend(message);
      case 'snapshot':
        this.recordLeaderContact(message.from);
        return this.follower.receiveSnapshot(message);
      case 'append-reply':
        this.leader?.receiveAppendReply(message);
        return this.advanceTransfer();
      case 'snapshot-reply':
        return this.leader?.receiveSnapshotReply(message);
      case 'timeout-now':
        if (this.state.isVoter) this.elections.campaign(true);
        return undefined;
      default:
        return undefined;
    }
  }

  private recordLeaderContact(from: string): void {
    const { state } = this;
    if (state.role !== 'follower' || state.leader !== from) this.becomeFollower(state.term, from);
    state.leaderLease.renew(state.nowMs);
    state.resetElectionTimer();
  }

  /** Becomes a follower in the current term or a later one. */
  private becomeFollower(term: number, leader: string | undefined): void {
    const { state } = this;
    if (term > state.term) state.setTerm(term, undefined);
    if (this.leader) state.recordValidity(this.leader.validUntilMs);
    // A leader whose transfer timed out or that lost its quorum lets others campaign first.
    if (this.leader !== undefined) state.resetElectionTimer();
    this.leader = undefined;
    this.transfer = undefined;
    state.role = 'follower';
    state.leader = leader;
  }

  private becomeLeader(): void {
    this.state.role = 'leader';
    this.state.leader = this.state.replicaId;
    this.leader = this.createLeader();
    this.leader.tick();
  }

  private requireValidLeader(nowMs: number): Leader {
    const isValid = this.isLeaderValid(nowMs);
    if (!isValid || this.leader === undefined || this.transfer !== undefined) {
      throw new NotLeaderError(this.leader === undefined ? this.leaderId : undefined);
    }
    return this.leader;
  }

  private advanceTransfer(): void {
    const { leader, transfer } = this;
    if (leader === undefined || transfer === undefined) return;
    transfer.sendTimeoutNowIfCaughtUp(leader.progress.get(transfer.target)?.durableIndex ?? 0);
  }

  /** Sends a message that waited for a write, unless its term is over. */
  private sendDeferredMessage(message: RaftMessage): void {
    const isGrantedPreVote = message.type === 'pre-vote-reply' && message.granted;
    if (message.term !== this.state.term && !isGrantedPreVote) return;
    if (message.to === this.state.replicaId) this.dispatch(message);
    else this.state.send(message);
  }

  private applyCommitted(): void {
    const { state } = this;
    const count = state.commitIndex - state.appliedIndex;
    if (count <= 0) return;
    const entries = state.log.slice(state.appliedIndex + 1, count);
    state.appliedIndex = state.commitIndex;
    state.effects.push({ type: 'apply', entries });
    this.snapshots.requestIfDue();
  }

  private currentRole(): RoleChange {
    return { role: this.role, term: this.term, leaderId: this.leaderId };
  }

  private announceRole(): void {
    const change = this.currentRole();
    const { role, term, leaderId } = this.announcedRole;
    if (change.role === role && change.term === term && change.leaderId === leaderId) return;
    this.announcedRole = change;
    this.state.effects.push({ type: 'role', change });
  }
}
