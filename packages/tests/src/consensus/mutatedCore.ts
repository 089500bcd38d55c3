import { RaftCore } from '@lagoongap/consensus/raftCore.js';
import type { RaftCoreOptions } from '@lagoongap/consensus/raftCoreOptions.js';
import type { RaftMessage } from '@lagoongap/consensus/raftMessage.js';

import { MutatedLeader } from './mutatedLeader.js';
import type { Mutation } from './mutation.js';

/** Larger than any term of a simulation. */
const LARGE_TERM = 1_000_000;

/** RaftCore with one mechanism disabled. */
class MutatedCore extends RaftCore {
  constructor(
    options: RaftCoreOptions,
    private readonly mutation: Mutation,
  ) {
    super(options);
  }

  override isLeaderValid(nowMs: number): boolean {
    const isValid = super.isLeaderValid(nowMs);
    if (this.mutation !== 'leader validity survives a transfer') return isValid;
    return this.leader !== undefined && nowMs < this.leader.validUntilMs;
  }

  override receive(message: RaftMessage, nowMs: number): void {
    const isVote = message.type === 'vote' || message.type === 'pre-vote';
    const isRefused = this.mutation === 'learners refuse every vote' && !this.state.isVoter;
    if (!(isVote && isRefused)) super.receive(this.mutate(message), nowMs);
  }

  override onSnapshotSaved(index: number, data: unknown): void {
    const isMutated = this.mutation === 'snapshots contain a different state';
    super.onSnapshotSaved(index, isMutated ? { index, value: -1 } : data);
  }

  protected override createLeader(): MutatedLeader {
    return new MutatedLeader(this.state, this.mutation);
  }

  protected override isLeaderLeaseActive(): boolean {
    return this.mutation !== 'votes during a leader lease' && super.isLeaderLeaseActive();
  }

  private mutate(message: RaftMessage): RaftMessage {
    const isVote = message.type === 'vote' || message.type === 'pre-vote';
    if (isVote && this.mutation === 'log position is ignored in votes') {
      return { ...message, lastTerm: LARGE_TERM };
    }
    const isVoteReply = message.type === 'vote-reply';
    if (isVoteReply && this.mutation === 'votes hide a recent contact with the leader') {
      return { ...message, contactAgeMs: Infinity };
    }
    if (message.type === 'append' && this.mutation === 'log position is ignored in appends') {
      const prevTerm = this.state.log.termAt(message.prevIndex) ?? message.prevTerm;
      return { ...message, prevTerm };
    }
    return message;
  }
}

/** Creates a core, with one mechanism disabled if a mutation is given. */
export function createCore(mutation: Mutation | undefined, options: RaftCoreOptions): RaftCore {
  return mutation === undefined ? new RaftCore(options) : new MutatedCore(options, mutation);
}
