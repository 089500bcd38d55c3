import { isMajority } from './quorum.js';
import type {
  PreVoteMessage,
  PreVoteReplyMessage,
  VoteMessage,
  VoteReplyMessage,
} from './raftMessage.js';
import type { RaftRole, RaftState } from './raftState.js';

/** Maximum relative difference between the rates of two clocks. */
const CLOCK_RATE_TOLERANCE = 0.02;

/**
 * Handles pre-votes and votes, both as a candidate and as a voter.
 *
 * Only voters campaign. A learner does grant votes: a candidate asks only the voters in its own
 * log, so the learner must have been promoted by an entry that it has not received yet. If it
 * refused, a leader that fails right after the promotion could leave a majority that is unable to
 * elect a successor.
 */
export class Elections {
  private readonly votes = new Set<string>();
  /** Time at which any of the granting voters last heard from a leader. */
  private lastContactMs = -Infinity;

  /**
   * @param isLeaderLeaseActive - Returns whether a leader may still be valid, so that no vote may
   *   be granted.
   * @param onElected - Called when this replica has won the election.
   */
  constructor(
    private readonly state: RaftState,
    private readonly isLeaderLeaseActive: () => boolean,
    private readonly onElected: () => void,
  ) {}

  /**
   * Time by which the validity of every earlier leader had ended, once this replica is elected. An
   * earlier leader was valid only while a majority acknowledged it, and every majority shares a
   * voter with the one that elected this replica.
   */
  get predecessorEndMs(): number {
    return this.lastContactMs + this.state.options.timing.electionMinMs;
  }

  /** Starts a pre-vote round, which does not increment the term. */
  startPreVote(): void {
    const { state } = this;
    if (state.role !== 'follower') state.recordFailedRound();
    this.startRound('pre-candidate');
    this.countVote(state.replicaId);
    for (const to of this.otherVoters()) {
      state.send({
        type: 'pre-vote',
        ...this.messageHeader(to, state.term + 1),
        ...this.lastLogPosition(),
      });
    }
  }

  /** Increments the term and requests votes; this replica's own vote counts once it is durable. */
  campaign(isTransfer: boolean): void {
    const { state } = this;
    this.startRound('candidate');
    state.setTerm(state.term + 1, state.replicaId);
    for (const to of this.otherVoters()) {
      const position = this.lastLogPosition();
      state.sendWhenDurable({ type: 'vote', ...this.messageHeader(to), ...position, isTransfer });
    }
    state.sendWhenDurable({
      type: 'vote-reply',
      ...this.messageHeader(state.replicaId),
      granted: true,
      contactAgeMs: state.contactAgeMs,
    });
  }

  receivePreVote(message: PreVoteMessage): void {
    const { state } = this;
    const granted =
      message.term > state.term &&
      !this.isLeaderLeaseActive() &&
      state.log.isCandidateUpToDate({ index: message.lastIndex, term: message.lastTerm });
    if (granted) this.deferTo(message.from);
    const term = granted ? message.term : state.term;
    state.sendWhenDurable({
      type: 'pre-vote-reply',
      ...this.messageHeader(message.from, term),
      granted,
    });
  }

  receivePreVoteReply(message: PreVoteReplyMessage): void {
    const { state } = this;
    if (state.role !== 'pre-candidate' || !message.granted) return;
    if (message.term !== state.term + 1) return;
    this.countVote(message.from);
  }

  /** Handles a vote request of the current term. */
  receiveVote(message: VoteMessage): void {
    const { state } = this;
    const hasNotVoted = state.votedFor === undefined && state.leader === undefined;
    const granted =
      (hasNotVoted || state.votedFor === message.from) &&
      state.log.isCandidateUpToDate({ index: message.lastIndex, term: message.lastTerm });
    if (granted) {
      state.resetElectionTimer();
      if (state.votedFor === undefined) state.setTerm(state.term, message.from);
    }
    this.sendVoteReply(message, granted);
  }

  /** Sends the reply to a vote request once term and vote are durable. */
  sendVoteReply(message: VoteMessage, granted: boolean): void {
    const header = this.messageHeader(message.from);
    const { contactAgeMs } = this.state;
    this.state.sendWhenDurable({ type: 'vote-reply', ...header, granted, contactAgeMs });
  }

  receiveVoteReply(message: VoteReplyMessage): void {
    if (this.state.role !== 'candidate' || !message.granted) return;
    const ageMs = (message.contactAgeMs ?? 0) * (1 - CLOCK_RATE_TOLERANCE);
    this.lastContactMs = Math.max(this.lastContactMs, this.state.nowMs - ageMs);
    this.countVote(message.from);
  }

  /**
   * Leaves another candidate the time for its round, so that replicas that time out together do not
   * split the votes. Of two pre-candidates, the one with the lower replica id continues. A grant is
   * never refused for this: the other candidate may be the only one that reaches a majority.
   */
  private deferTo(candidate: string): void {
    const { state } = this;
    if (state.role === 'follower') state.deferElection();
    if (state.role !== 'pre-candidate' || candidate > state.replicaId) return;
    state.role = 'follower';
    state.recordFailedRound();
    state.startRetryTimer();
  }

  private startRound(role: RaftRole): void {
    this.votes.clear();
    this.lastContactMs = -Infinity;
    this.state.role = role;
    this.state.leader = undefined;
    this.state.startRetryTimer();
  }

  private countVote(from: string): void {
    const { state, votes } = this;
    if (!state.voters.includes(from)) return;
    votes.add(from);
    if (!isMajority(votes.size, state.voters.length)) return;
    if (state.role === 'pre-candidate') this.campaign(false);
    else this.onElected();
  }

  private otherVoters(): string[] {
    return this.state.voters.filter((id) => id !== this.state.replicaId);
  }

  private lastLogPosition(): { lastIndex: number; lastTerm: number } {
    const { log } = this.state;
    return { lastIndex: log.lastIndex, lastTerm: log.lastTerm };
  }

  private messageHeader(
    to: string,
    term = this.state.term,
  ): { from: string; to: string; term: number } {
    return { from: this.state.replicaId, to, term };
  }
}
