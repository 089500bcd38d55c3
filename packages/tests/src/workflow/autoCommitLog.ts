import { NotLeaderError } from '@lagoongap/consensus/notLeaderError.js';
import type { ProposeResult, StateMachine } from '@lagoongap/consensus/replicatedLog.js';

import { ManualCommitLog } from '../harness/manualCommitLog.js';

/** Replicated log of one leadership that commits every proposal immediately. */
export class AutoCommitLog extends ManualCommitLog {
  override term: number;
  /** The leadership has ended; proposals are no longer committed. */
  isLeadershipOver = false;
  /** The majority is unreachable at present, but no other leader is elected. */
  hasLostMajority = false;
  /** Registrations of endpoints are refused, to be proposed again. */
  refusesRegistrations = false;
  /** The majority is lost once the next starts are committed. */
  losesMajorityAfterStart = false;
  /** Time until starts are committed. */
  startCommitMs = 0;
  /** Type of the commands that are committed only when {@link commitHeld} is called. */
  heldType: 'start' | 'end' | 'cancel' | undefined;
  private held: (() => void)[] = [];

  constructor(
    stateMachine: StateMachine,
    term: number,
    override readonly predecessorEndMs = performance.now(),
  ) {
    super(stateMachine);
    this.term = term;
  }

  override propose(command: unknown): Promise<ProposeResult> {
    const { type } = command as { type: string };
    const isRefused = this.refusesRegistrations && type === 'register';
    if (type === this.heldType) return this.hold(command);
    if (this.hasLostMajority || isRefused) return Promise.reject(new NotLeaderError());
    const result = super.propose(command);
    if (type === 'start' && this.startCommitMs > 0) {
      setTimeout(() => this.commitAll(), this.startCommitMs);
      return result;
    }
    if (this.isLeadershipOver) this.loseLeadership();
    else this.commitAll();
    if (this.losesMajorityAfterStart && type === 'start') {
      this.losesMajorityAfterStart = false;
      this.hasLostMajority = true;
    }
    return result;
  }

  /** Commits the commands that were held back. */
  commitHeld(): void {
    this.heldType = undefined;
    for (const commit of this.held.splice(0)) commit();
  }

  private hold(command: unknown): Promise<ProposeResult> {
    return new Promise((resolve) => {
      this.held.push(() => resolve(this.propose(command)));
    });
  }
}
