import type {
  Membership,
  ProposeResult,
  ReplicatedLog,
  StateMachine,
} from '@lagoongap/consensus/replicatedLog.js';

/** Log in memory of a single leader that commits all proposals after a fixed delay. */
export class BatchingLog implements ReplicatedLog {
  readonly role = 'leader';
  readonly leaderId = 'instance-1';
  readonly predecessorEndMs = performance.now();
  appliedIndex = 0;
  readonly term: number;
  private readonly stateMachine: StateMachine;
  private readonly commitMs: number;

  constructor(stateMachine: StateMachine, term: number, commitMs: number) {
    this.stateMachine = stateMachine;
    this.term = term;
    this.commitMs = commitMs;
  }

  get quorumContactMs(): number {
    return performance.now();
  }

  propose(command: unknown): Promise<ProposeResult> {
    return new Promise((resolve) => {
      setTimeout(() => {
        this.appliedIndex += 1;
        const { term, appliedIndex: index } = this;
        resolve({ index, result: this.stateMachine.apply({ index, term, command }) });
      }, this.commitMs);
    });
  }

  isLeaderValid(): boolean {
    return true;
  }

  whenReadyToLead(): Promise<void> {
    return Promise.resolve();
  }

  onRoleChange(): () => void {
    return () => {};
  }

  members(): Membership {
    return { voters: ['instance-1/bootstrap'], learners: [] };
  }

  isCaughtUp(): boolean {
    return true;
  }

  addLearner(): Promise<void> {
    return Promise.resolve();
  }

  promote(): Promise<void> {
    return Promise.resolve();
  }

  removeMember(): Promise<void> {
    return Promise.resolve();
  }

  transferLeadership(): Promise<void> {
    return Promise.resolve();
  }

  [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve();
  }
}
