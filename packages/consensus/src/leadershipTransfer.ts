import type { RaftState } from './raftState.js';

/** Transfer of leadership to another voter. */
export class LeadershipTransfer {
  /**
   * True once the target was asked to campaign. The message may arrive arbitrarily late and voters
   * then grant their votes at once, so leader validity is over for the rest of the term.
   */
  isTimeoutNowSent = false;
  private readonly deadlineMs: number;

  /** @param target - Replica id of the voter to become leader. */
  constructor(
    private readonly state: RaftState,
    readonly target: string,
  ) {
    this.deadlineMs = state.nowMs + state.options.timing.electionMaxMs;
  }

  get isExpired(): boolean {
    return this.state.nowMs >= this.deadlineMs;
  }

  /** Asks the target to campaign as soon as it has durably stored the whole log. */
  sendTimeoutNowIfCaughtUp(targetDurableIndex: number): void {
    const { state } = this;
    if (this.isTimeoutNowSent || targetDurableIndex < state.log.lastIndex) return;
    this.isTimeoutNowSent = true;
    state.send({ type: 'timeout-now', from: state.replicaId, to: this.target, term: state.term });
  }
}
