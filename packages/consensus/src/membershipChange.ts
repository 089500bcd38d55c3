import type { Leader } from './leader.js';
import { MembershipChangeError } from './membershipChangeError.js';
import type { RaftState } from './raftState.js';
import { instanceIdOf } from './replicaId.js';
import type { Membership } from './replicatedLog.js';

/** Change of a single member, identified by replica id. */
export interface MembershipChange {
  type: 'add-learner' | 'promote' | 'remove';
  replicaId: string;
}

function assertPermitted(condition: boolean, message: string): void {
  if (!condition) throw new MembershipChangeError(message);
}

/**
 * Returns the membership after a change; throws MembershipChangeError if it is not permitted.
 * Changing one voter at a time makes every two consecutive majorities overlap, provided that the
 * previous change is committed and this leader has committed an entry of its term.
 */
export function applyMembershipChange(
  state: RaftState,
  leader: Leader,
  change: MembershipChange,
): Membership {
  if (!leader.hasCommittedInTerm) {
    throw new MembershipChangeError('the leader has not yet committed an entry of its term');
  }
  if (state.memberships.currentIndex > state.commitIndex) {
    throw new MembershipChangeError('the previous membership change is not yet committed');
  }
  const { voters, learners } = state.memberships.current;
  const { type, replicaId } = change;
  if (type === 'add-learner') {
    assertPermitted(!voters.includes(replicaId), `replica ${replicaId} is already a voter`);
    assertPermitted(!learners.includes(replicaId), `replica ${replicaId} is already a learner`);
    return { voters, learners: [...learners, replicaId] };
  }
  const otherVoters = voters.filter((id) => id !== replicaId);
  const otherLearners = learners.filter((id) => id !== replicaId);
  if (type === 'promote') {
    const hasInstanceVoter = voters.some((id) => instanceIdOf(id) === instanceIdOf(replicaId));
    assertPermitted(learners.includes(replicaId), `replica ${replicaId} is not a learner`);
    assertPermitted(
      !hasInstanceVoter,
      `instance ${instanceIdOf(replicaId)} already has a voter; remove that one first`,
    );
    assertPermitted(
      leader.isCaughtUp(replicaId),
      `learner ${replicaId} has not caught up with the leader`,
    );
    return { voters: [...voters, replicaId], learners: otherLearners };
  }
  assertPermitted(
    voters.includes(replicaId) || learners.includes(replicaId),
    `replica ${replicaId} is not a member`,
  );
  assertPermitted(otherVoters.length > 0, `cannot remove ${replicaId}: it is the last voter`);
  const isSafe = !voters.includes(replicaId) || leader.hasActiveMajority(otherVoters);
  assertPermitted(
    isSafe,
    `cannot remove ${replicaId}: no majority of the remaining voters responds`,
  );
  return { voters: otherVoters, learners: otherLearners };
}
