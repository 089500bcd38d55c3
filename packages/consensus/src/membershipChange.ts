import type { Leader } from './leader.js';
import { MembershipChangeError } from './membershipChangeError.js';
import type { RaftState } from './raftState.js';
import { instanceOf } from './replicaId.js';
import type { Membership } from './replicatedLog.js';

/** A change of one member, by replica id. */
export interface MembershipChange {
  type: 'add-learner' | 'promote' | 'remove';
  replicaId: string;
}

function expect(condition: boolean, message: string): void {
  if (!condition) throw new MembershipChangeError(message);
}

/**
 * Returns the membership after a change; throws MembershipChangeError if it is not permitted.
 * Changes of one voter at a time keep every two consecutive majorities overlapping, provided
 * that the earlier change is committed and this leader has committed an entry of its term.
 */
export function changeMembership(
  state: RaftState,
  leader: Leader,
  change: MembershipChange,
): Membership {
  if (!leader.hasCommittedInTerm) {
    throw new MembershipChangeError('the leader has not committed an entry of its term yet');
  }
  if (state.memberships.currentIndex > state.commitIndex) {
    throw new MembershipChangeError('an earlier membership change is not committed yet');
  }
  const { voters, learners } = state.memberships.current;
  const { type, replicaId } = change;
  if (type === 'add-learner') {
    expect(!voters.includes(replicaId), `${replicaId} is a voter`);
    expect(!learners.includes(replicaId), `${replicaId} is a learner already`);
    return { voters, learners: [...learners, replicaId] };
  }
  const otherVoters = voters.filter((id) => id !== replicaId);
  const otherLearners = learners.filter((id) => id !== replicaId);
  if (type === 'promote') {
    const isTwice = voters.some((id) => instanceOf(id) === instanceOf(replicaId));
    expect(learners.includes(replicaId), `${replicaId} is not a learner`);
    expect(!isTwice, `instance ${instanceOf(replicaId)} has a voter; remove it first`);
    expect(leader.isCaughtUp(replicaId), `${replicaId} has not caught up`);
    return { voters: [...voters, replicaId], learners: otherLearners };
  }
  expect(voters.includes(replicaId) || learners.includes(replicaId), `${replicaId} is no member`);
  expect(otherVoters.length > 0, `${replicaId} is the last voter`);
  const isSafe = !voters.includes(replicaId) || leader.hasActiveMajority(otherVoters);
  expect(isSafe, `no majority of the voters besides ${replicaId} answers`);
  return { voters: otherVoters, learners: otherLearners };
}
