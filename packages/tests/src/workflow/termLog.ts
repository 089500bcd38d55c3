import { NotLeaderError } from '@lagoongap/consensus/notLeaderError.js';
import type { ProposeResult, StateMachine } from '@lagoongap/consensus/replicatedLog.js';

import { HeldLog } from '../harness/heldLog.js';

/** Replicated log of one leadership that commits everything at once. */
export class TermLog extends HeldLog {
  override readonly term: number;
  /** Leadership has ended: nothing is committed any more. */
  isOver = false;
  /** No majority answers at present, but nobody else leads. */
  isStalled = false;
  /** The majority is lost as soon as the next starts are committed. */
  stallsAfterStart = false;

  constructor(stateMachine: StateMachine, term: number) {
    super(stateMachine);
    this.term = term;
  }

  override propose(command: unknown): Promise<ProposeResult> {
    if (this.isStalled) return Promise.reject(new NotLeaderError());
    const result = super.propose(command);
    if (this.isOver) this.loseLeadership();
    else this.commitAll();
    if (this.stallsAfterStart && (command as { type: string }).type === 'start') {
      this.stallsAfterStart = false;
      this.isStalled = true;
    }
    return result;
  }
}
