import { isMajority } from './quorum.js';
import type {
  PreVoteMessage,
  PreVoteReplyMessage,
  VoteMessage,
  VoteReplyMessage,
} from './raftMessage.js';
import type { RaftRole, RaftState } from './raftState.js';

/**
 * Pre-votes and votes, from both sides.
 *
 * Only voters campaign. A learner grants a vote if it is asked, because candidates ask nobody
 * but the voters of their own log: the learner was promoted and has not received that entry
 * yet. Without its vote, a leader that fails right after a promotion could leave the remaining
 * majority unable to elect another one.
 */
export class Elections {
  private readonly votes = new Set<string>();

  /**
   * @param isLeaderHeard - Tells whether a leader may still be valid, so that no vote is granted.
   * @param onElected - Called when this replica has won.
   */
  constructor(
    private readonly state: RaftState,
    private readonly isLeaderHeard: () => boolean,
    private readonly onElected: () => void,
  ) {}

  /** Asks whether an election can be won, without a new term. */
  startPreVote(): void {
    const { state } = this;
    this.become('pre-candidate');
    this.countVote(state.replicaId);
    for (const to of this.otherVoters()) {
      state.send({ type: 'pre-vote', ...this.header(to, state.term + 1), ...this.lastPosition() });
    }
  }

  /** Starts a new term and asks for votes; the own vote counts once it is durable. */
  campaign(isTransfer: boolean): void {
    const { state } = this;
    this.become('candidate');
    state.setTerm(state.term + 1, state.replicaId);
    for (const to of this.otherVoters()) {
      const position = this.lastPosition();
      state.sendWhenDurable({ type: 'vote', ...this.header(to), ...position, isTransfer });
    }
    state.sendWhenDurable({ type: 'vote-reply', ...this.header(state.replicaId), granted: true });
  }

  receivePreVote(message: PreVoteMessage): void {
    const { state } = this;
    const granted =
      message.term > state.term &&
      !this.isLeaderHeard() &&
      state.log.isCoveredBy({ index: message.lastIndex, term: message.lastTerm });
    const term = granted ? message.term : state.term;
    state.sendWhenDurable({ type: 'pre-vote-reply', ...this.header(message.from, term), granted });
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
    const isFree = state.votedFor === undefined && state.leader === undefined;
    const granted =
      (isFree || state.votedFor === message.from) &&
      state.log.isCoveredBy({ index: message.lastIndex, term: message.lastTerm });
    if (granted) {
      state.resetElectionTimer();
      if (state.votedFor === undefined) state.setTerm(state.term, message.from);
    }
    this.replyToVote(message, granted);
  }

  /** Answers a vote request. */
  replyToVote(message: VoteMessage, granted: boolean): void {
    const header = this.header(message.from);
    this.state.sendWhenDurable({ type: 'vote-reply', ...header, granted });
  }

  receiveVoteReply(message: VoteReplyMessage): void {
    if (this.state.role !== 'candidate' || !message.granted) return;
    this.countVote(message.from);
  }

  private become(role: RaftRole): void {
    this.votes.clear();
    this.state.role = role;
    this.state.leader = undefined;
    this.state.resetElectionTimer();
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

  private lastPosition(): { lastIndex: number; lastTerm: number } {
    const { log } = this.state;
    return { lastIndex: log.lastIndex, lastTerm: log.lastTerm };
  }

  private header(to: string, term = this.state.term): { from: string; to: string; term: number } {
    return { from: this.state.replicaId, to, term };
  }
}
