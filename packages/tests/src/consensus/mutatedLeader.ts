import { Leader } from '@lagoongap/consensus/leader.js';
import type { AppendReplyMessage } from '@lagoongap/consensus/raftMessage.js';
import type { RaftState } from '@lagoongap/consensus/raftState.js';

import type { Mutation } from './mutation.js';

/** Leader with one mechanism disabled. */
export class MutatedLeader extends Leader {
  constructor(
    state: RaftState,
    private readonly mutation: Mutation,
  ) {
    super(state);
  }

  override get hasCommittedInTerm(): boolean {
    return (
      this.mutation === 'membership changes without a commit in the term' ||
      super.hasCommittedInTerm
    );
  }

  override isCaughtUp(replicaId: string): boolean {
    return (
      this.mutation === 'learners are promoted before they catch up' || super.isCaughtUp(replicaId)
    );
  }

  override receiveAppendReply(message: AppendReplyMessage): void {
    const isMutated = this.mutation === 'leader validity starts at the receipt of acknowledgements';
    const sentAtMs = isMutated ? this.state.nowMs : message.sentAtMs;
    super.receiveAppendReply({ ...message, sentAtMs });
  }

  protected override mayCommit(index: number): boolean {
    const isMutated = this.mutation === 'entries of earlier terms commit by counting replicas';
    return isMutated || super.mayCommit(index);
  }
}
