import type { RaftState } from './raftState.js';

/** Handover of leadership to one voter. */
export class LeadershipTransfer {
  /**
   * True once the target was told to campaign. The message may arrive at any later time and
   * voters grant the votes at once, so leader validity has ended for the rest of the term.
   */
  isSent = false;
  private readonly deadlineMs: number;

  /** @param target - Replica id of the next leader. */
  constructor(
    private readonly state: RaftState,
    readonly target: string,
  ) {
    this.deadlineMs = state.nowMs + state.options.timing.electionMaxMs;
  }

  get isExpired(): boolean {
    return this.state.nowMs >= this.deadlineMs;
  }

  /** Tells the target to campaign as soon as it has the whole log. */
  advance(targetDurableIndex: number): void {
    const { state } = this;
    if (this.isSent || targetDurableIndex < state.log.lastIndex) return;
    this.isSent = true;
    state.send({ type: 'timeout-now', from: state.replicaId, to: this.target, term: state.term });
  }
}
