import type { LogWrite, StoredLog } from '@lagoongap/storage/logStore.js';

import { bootstrapReplicaId } from './replicaId.js';
import type { Membership } from './replicatedLog.js';
import { lastOf } from './lastOf.js';

/** Term of the first entry; no leader is elected in this term. */
const BOOTSTRAP_TERM = 1;

/** Index of the first entry. */
const BOOTSTRAP_INDEX = 1;

/**
 * Returns the initial write of every initial voter: a first log entry with the initial membership.
 * It is identical on all of them, so the logs agree without any messages.
 */
export function bootstrapWrite(voters: string[]): Required<LogWrite> {
  const membership: Membership = {
    voters: [...voters].sort().map(bootstrapReplicaId),
    learners: [],
  };
  const entry = { index: BOOTSTRAP_INDEX, term: BOOTSTRAP_TERM, type: 'membership' as const };
  return { hardState: { term: BOOTSTRAP_TERM }, entries: [{ ...entry, data: membership }] };
}

/**
 * Returns whether a replica has taken part in an election or its log has entries beyond the first
 * one.
 */
export function hasHistory(term: number, lastIndex: number): boolean {
  return term > BOOTSTRAP_TERM || lastIndex > BOOTSTRAP_INDEX;
}

/** Like {@link hasHistory}, for a stored log. */
export function storedLogHasHistory({ hardState, snapshot, entries }: StoredLog): boolean {
  return hasHistory(hardState.term, lastOf(entries)?.index ?? snapshot?.index ?? 0);
}

/** Returns whether the store has no log state; it may have a replica id. */
export function isStoredLogEmpty({ hardState, snapshot, entries }: StoredLog): boolean {
  return hardState.term === 0 && snapshot === undefined && entries.length === 0;
}
