import type { LogWrite, StoredLog } from '@lagoongap/storage/logStore.js';

import { bootstrapReplicaId } from './replicaId.js';
import type { Membership } from './replicatedLog.js';
import { lastOf } from './lastOf.js';

/** Term of the first entry; no replica is ever elected in it. */
const BOOTSTRAP_TERM = 1;

/** Index of the first entry. */
const BOOTSTRAP_INDEX = 1;

/**
 * Returns what every initial voter writes on its own: a first entry that holds the initial
 * membership. It is the same on each of them, so they agree without an exchange.
 */
export function bootstrapWrite(voters: string[]): Required<LogWrite> {
  const membership: Membership = {
    voters: [...voters].sort().map(bootstrapReplicaId),
    learners: [],
  };
  const entry = { index: BOOTSTRAP_INDEX, term: BOOTSTRAP_TERM, type: 'membership' as const };
  return { hardState: { term: BOOTSTRAP_TERM }, entries: [{ ...entry, data: membership }] };
}

/** Tells whether a log has been part of an election or holds more than the first entry. */
export function hasHistory(term: number, lastIndex: number): boolean {
  return term > BOOTSTRAP_TERM || lastIndex > BOOTSTRAP_INDEX;
}

/** Tells the same of a stored log. */
export function storedHasHistory({ hardState, snapshot, entries }: StoredLog): boolean {
  return hasHistory(hardState.term, lastOf(entries)?.index ?? snapshot?.index ?? 0);
}

/** Tells whether storage holds no log at all, at most an identity. */
export function isEmpty({ hardState, snapshot, entries }: StoredLog): boolean {
  return hardState.term === 0 && snapshot === undefined && entries.length === 0;
}
