import { Elections } from './elections.js';
import { Follower } from './follower.js';
import { Leader } from './leader.js';
import { LeadershipTransfer } from './leadershipTransfer.js';
import { changeMembership, type MembershipChange } from './membershipChange.js';
import { MembershipChangeError } from './membershipChangeError.js';
import { NotLeaderError } from './notLeaderError.js';
import type { RaftCoreOptions } from './raftCoreOptions.js';
import type { RaftEffect } from './raftEffect.js';
import type { RaftMessage, VoteMessage } from './raftMessage.js';
import { RaftState } from './raftState.js';
import type { Membership, ReplicaRole, RoleChange } from './replicatedLog.js';
import { SnapshotPolicy } from './snapshotPolicy.js';

/** Position of an appended entry. */
export interface AppendedEntry {
  index: number;
  term: number;
}

/**
 * Raft as a synchronous state machine without timers, input or output. Every input carries
 * the time; what has to be done is returned by `takeEffects`, which is called after one or
 * more inputs. All proposals between two calls share one write and one message per member.
 */
export class RaftCore {
  protected readonly state: RaftState;
  private readonly elections: Elections;
  private readonly follower: Follower;
  private readonly snapshots: SnapshotPolicy;
  protected leader: Leader | undefined;
  private transfer: LeadershipTransfer | undefined;
  private announced: RoleChange;

  constructor(options: RaftCoreOptions) {
    this.state = new RaftState(options);
    this.follower = new Follower(this.state);
    this.snapshots = new SnapshotPolicy(this.state);
    this.elections = new Elections(
      this.state,
      () => this.isLeaderHeard(),
      () => this.lead(),
    );
    this.announced = this.roleChange();
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

  /** Instance id of the leader, if known. */
  get leaderId(): string | undefined {
    return this.state.leaderInstance;
  }

  get commitIndex(): number {
    return this.state.commitIndex;
  }

  get lastIndex(): number {
    return this.state.log.lastIndex;
  }

  /** Membership in force, by replica id. */
  get membership(): Membership {
    return this.state.memberships.current;
  }

  /** Index of the first entry of the term that this replica leads. */
  get termStartIndex(): number | undefined {
    return this.leader?.termStartIndex;
  }

  /** Tells whether leader validity holds at a time. */
  isLeaderValid(nowMs: number): boolean {
    this.advanceClock(nowMs);
    if (this.leader === undefined || this.transfer?.isSent) return false;
    return this.state.nowMs < this.leader.validUntilMs;
  }

  /** Tells whether a member has everything that was committed one heartbeat ago, durably. */
  isCaughtUp(replicaId: string): boolean {
    return this.leader?.isCaughtUp(replicaId) ?? false;
  }

  /** Lets time pass; to be called several times in a heartbeat interval. */
  tick(nowMs: number): void {
    this.advanceClock(nowMs);
    if (this.leader !== undefined) this.tickLeader(this.leader);
    else if (this.state.nowMs >= this.state.electionDeadlineMs) this.startElection();
    this.announceRole();
  }

  /** Handles a message; one for another replica id is ignored. */
  receive(message: RaftMessage, nowMs: number): void {
    this.advanceClock(nowMs);
    if (message.to !== this.state.replicaId) return;
    if (this.isOfCurrentTerm(message)) this.dispatch(message);
    this.announceRole();
  }

  /** Appends a command; throws NotLeaderError without a valid leadership. */
  propose(command: unknown, nowMs: number): AppendedEntry {
    const leader = this.expectLeader(nowMs);
    return { index: leader.append('command', command), term: this.state.term };
  }

  /** Appends a membership change; throws NotLeaderError or MembershipChangeError. */
  proposeMembership(change: MembershipChange, nowMs: number): AppendedEntry {
    const leader = this.expectLeader(nowMs);
    const membership = changeMembership(this.state, leader, change);
    const index = leader.appendMembership(membership);
    this.announceRole();
    return { index, term: this.state.term };
  }

  /**
   * Hands leadership to a voter; proposals are refused meanwhile.
   *
   * @param target - Replica id; by default a voter that answers, with the furthest log.
   */
  transferLeadership(target: string | undefined, nowMs: number): void {
    const leader = this.expectLeader(nowMs);
    const to = target ?? leader.mostUpToDateVoter();
    if (to === undefined) throw new MembershipChangeError('no other voter answers');
    if (to === this.state.replicaId || !this.state.voters.includes(to)) {
      throw new MembershipChangeError(`${to} is not another voter`);
    }
    this.transfer = new LeadershipTransfer(this.state, to);
    this.advanceTransfer();
  }

  /** Notes that a write has completed. */
  writeCompleted(id: number, nowMs: number): void {
    this.advanceClock(nowMs);
    for (const message of this.state.writes.completeWrite(id)) this.releaseMessage(message);
    this.leader?.advanceCommit();
    this.announceRole();
  }

  /** Notes that a snapshot that was asked for is stored. */
  snapshotSaved(index: number, data: unknown): void {
    this.snapshots.saved(index, data);
  }

  /** Returns what has to be done, in order. */
  takeEffects(): RaftEffect[] {
    const { state } = this;
    this.leader?.replicate();
    const write = state.writes.startWrite();
    if (write !== undefined) state.effects.push({ type: 'write', write });
    this.applyCommitted();
    return state.effects.splice(0);
  }

  /** Creates the leader's part; tests replace single rules. */
  protected createLeader(): Leader {
    return new Leader(this.state);
  }

  private advanceClock(nowMs: number): void {
    this.state.nowMs = Math.max(this.state.nowMs, nowMs);
  }

  private tickLeader(leader: Leader): void {
    if (leader.hasLostQuorum || this.isRemoved(leader)) {
      this.follow(this.state.term, undefined);
      return;
    }
    if (this.transfer?.isExpired) {
      // The target may still win the election that it was told to start, so validity is over.
      if (this.transfer.isSent) {
        this.follow(this.state.term, undefined);
        return;
      }
      this.transfer = undefined;
    }
    leader.tick();
  }

  /** A leader outside the membership leads until its removal is committed. */
  private isRemoved(leader: Leader): boolean {
    const { state } = this;
    const isCommitted = state.memberships.currentIndex <= state.commitIndex;
    return !state.isVoter && isCommitted && leader.hasCommittedInTerm;
  }

  private startElection(): void {
    if (this.state.isVoter) this.elections.startPreVote();
    else this.state.resetElectionTimer();
  }

  /** Tells whether a leader may still be valid, so that no vote may be granted. */
  protected isLeaderHeard(): boolean {
    if (this.leader !== undefined) return this.isLeaderValid(this.state.nowMs);
    return this.state.voterLease.isHeld(this.state.nowMs);
  }

  /** Follows terms; returns false if the message has no further meaning. */
  private isOfCurrentTerm(message: RaftMessage): boolean {
    const { state } = this;
    if (message.type === 'pre-vote') return true;
    if (message.type === 'pre-vote-reply' && message.granted) return true;
    if (message.type === 'vote' && this.isVoteRefused(message)) {
      this.elections.replyToVote(message, false);
      return false;
    }
    if (message.term > state.term) this.follow(message.term, undefined);
    if (message.term === state.term) return true;
    if (message.type === 'append' || message.type === 'snapshot') this.follower.refuse(message);
    if (message.type === 'vote') this.elections.replyToVote(message, false);
    return false;
  }

  /** A vote is refused, and its term not followed, while a leader may still be valid. */
  private isVoteRefused(message: VoteMessage): boolean {
    return !message.isTransfer && this.isLeaderHeard();
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
        this.hearFrom(message.from);
        return this.follower.receiveAppend(message);
      case 'snapshot':
        this.hearFrom(message.from);
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

  private hearFrom(leader: string): void {
    const { state } = this;
    if (state.role !== 'follower' || state.leader !== leader) this.follow(state.term, leader);
    state.voterLease.renew(state.nowMs);
    state.resetElectionTimer();
  }

  /** Becomes a follower in a term, which is the current one or a later one. */
  private follow(term: number, leader: string | undefined): void {
    const { state } = this;
    if (term > state.term) state.setTerm(term, undefined);
    // A replica that gives up a transfer or its quorum leaves the first try to the others.
    if (this.leader !== undefined || state.role !== 'follower') state.resetElectionTimer();
    this.leader = undefined;
    this.transfer = undefined;
    state.role = 'follower';
    state.leader = leader;
  }

  private lead(): void {
    this.state.role = 'leader';
    this.state.leader = this.state.replicaId;
    this.leader = this.createLeader();
    this.leader.tick();
  }

  private expectLeader(nowMs: number): Leader {
    const isValid = this.isLeaderValid(nowMs);
    if (!isValid || this.leader === undefined || this.transfer !== undefined) {
      throw new NotLeaderError(this.leader === undefined ? this.leaderId : undefined);
    }
    return this.leader;
  }

  private advanceTransfer(): void {
    const { leader, transfer } = this;
    if (leader === undefined || transfer === undefined) return;
    transfer.advance(leader.progress.get(transfer.target)?.durableIndex ?? 0);
  }

  /** Sends a message whose write has completed, unless its term has passed. */
  private releaseMessage(message: RaftMessage): void {
    const isAnswerAhead = message.type === 'pre-vote-reply' && message.granted;
    if (message.term !== this.state.term && !isAnswerAhead) return;
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
    this.snapshots.takeIfDue();
  }

  private roleChange(): RoleChange {
    return { role: this.role, term: this.term, leaderId: this.leaderId };
  }

  private announceRole(): void {
    const change = this.roleChange();
    const { role, term, leaderId } = this.announced;
    if (change.role === role && change.term === term && change.leaderId === leaderId) return;
    this.announced = change;
    this.state.effects.push({ type: 'role', change });
  }
}
