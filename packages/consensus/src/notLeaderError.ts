import { ConsensusError } from './consensusError.js';

/** Thrown if the replica is not a valid leader; nothing was appended to the log. */
export class NotLeaderError extends ConsensusError {
  /** Instance id of the leader, if known. */
  readonly leaderId: string | undefined;

  constructor(leaderId?: string) {
    const hint =
      leaderId === undefined ? 'no leader is known' : `the current leader is ${leaderId}`;
    super(`this replica is not a valid leader; ${hint}`, { info: { leaderId } }, 'NotLeaderError');
    this.leaderId = leaderId;
  }
}
