import { ConsensusError } from './consensusError.js';

/** Thrown if a change of membership or leadership is refused; nothing was appended to the log. */
export class MembershipChangeError extends ConsensusError {
  constructor(message: string) {
    super(message, {}, 'MembershipChangeError');
  }
}
