import { ConsensusError } from './consensusError.js';

/** A change of members or leadership was refused; nothing was appended to the log. */
export class MembershipChangeError extends ConsensusError {
  constructor(message: string) {
    super(message, {}, 'MembershipChangeError');
  }
}
