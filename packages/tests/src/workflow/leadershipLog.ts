import { NotLeaderError } from '@lagoongap/consensus/notLeaderError.js';
import type { ProposeResult, ReplicaRole, RoleChange } from '@lagoongap/consensus/replicatedLog.js';

import { ManualCommitLog } from '../harness/manualCommitLog.js';

/** Replicated log of one replica whose role and validity a test changes. */
export class LeadershipLog extends ManualCommitLog {
  override role: ReplicaRole = 'follower';
  override term = 1;
  override leaderId: string | undefined = undefined;
  /** Whether the leader has heard from a majority recently. */
  isValid = true;
  /** Rejects proposals while the replica still leads, as during a transfer of leadership. */
  refusesProposals = false;
  private readonly listeners = new Set<(change: RoleChange) => void>();

  override propose(command: unknown): Promise<ProposeResult> {
    if (!this.isLeaderValid() || this.refusesProposals) {
      return Promise.reject(new NotLeaderError(this.leaderId));
    }
    return super.propose(command);
  }

  override isLeaderValid(): boolean {
    return this.role === 'leader' && this.isValid;
  }

  override onRoleChange(listener: (change: RoleChange) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Changes the role; the outcome of pending proposals is unknown from then on. */
  setRole(role: ReplicaRole, term: number, leaderId: string | undefined): void {
    this.role = role;
    this.term = term;
    this.leaderId = leaderId;
    this.loseLeadership();
    for (const listener of [...this.listeners]) listener({ role, term, leaderId });
  }
}
