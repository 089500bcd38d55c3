import { CommitUnknownError } from '@lagoongap/consensus/commitUnknownError.js';
import type {
  Membership,
  ProposeResult,
  ReplicaRole,
  ReplicatedLog,
  RoleChange,
  StateMachine,
} from '@lagoongap/consensus/replicatedLog.js';

interface Proposal {
  command: unknown;
  resolve: (result: ProposeResult) => void;
  reject: (err: Error) => void;
}

/** Replicated log of a single leader that commits only when a test calls `commitAll`. */
export class ManualCommitLog implements ReplicatedLog {
  readonly role: ReplicaRole = 'leader';
  readonly term: number = 2;
  readonly leaderId: string | undefined = 'instance-1';
  appliedIndex = 0;
  readonly predecessorEndMs = performance.now();
  private readonly stateMachine: StateMachine;
  private proposals: Proposal[] = [];
  private validityEndedAtMs: number | undefined;

  constructor(stateMachine: StateMachine) {
    this.stateMachine = stateMachine;
  }

  /** Number of uncommitted proposals. */
  get pendingCount(): number {
    return this.proposals.length;
  }

  propose(command: unknown): Promise<ProposeResult> {
    return new Promise((resolve, reject) => {
      this.proposals.push({ command, resolve, reject });
    });
  }

  /** Commits and applies all pending proposals, in order. */
  commitAll(): void {
    for (const { command, resolve } of this.proposals.splice(0)) {
      this.appliedIndex += 1;
      const { term, appliedIndex: index } = this;
      resolve({ index, result: this.stateMachine.apply({ index, term, command }) });
    }
  }

  /** Ends leadership: rejects all pending proposals, whose commit stays unknown. */
  loseLeadership(): void {
    for (const { reject } of this.proposals.splice(0))
      reject(new CommitUnknownError(this.appliedIndex + 1));
  }

  isLeaderValid(): boolean {
    return this.validityEndedAtMs === undefined;
  }

  get quorumContactMs(): number {
    return this.validityEndedAtMs ?? performance.now();
  }

  /** Ends the validity of the leader; its proposals may still be committed. */
  endValidity(): void {
    this.validityEndedAtMs ??= performance.now();
  }

  whenReadyToLead(): Promise<void> {
    return Promise.resolve();
  }

  onRoleChange(_: (change: RoleChange) => void): () => void {
    return () => {};
  }

  members(): Membership {
    return { voters: ['instance-1/bootstrap'], learners: [] };
  }

  isCaughtUp(): boolean {
    return true;
  }

  addLearner(_: string): Promise<void> {
    return Promise.resolve();
  }

  promote(_: string): Promise<void> {
    return Promise.resolve();
  }

  removeMember(_: string): Promise<void> {
    return Promise.resolve();
  }

  transferLeadership(): Promise<void> {
    return Promise.resolve();
  }

  [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve();
  }
}
