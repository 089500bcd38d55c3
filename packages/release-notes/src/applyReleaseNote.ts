import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import type { ReleaseNote } from '@lagoongap/model/releaseNote.js';

import { type EntryKind, identifyEntry } from './noteSections.js';

function applyEntries<T extends { id: string } | { name: string }>(
  entries: Record<string, T>,
  changes: { added: T[]; changed: T[]; withdrawn: string[] },
): Record<string, T> {
  const result = { ...entries };
  for (const name of changes.withdrawn) delete result[name];
  for (const entry of [...changes.added, ...changes.changed]) result[identifyEntry(entry)] = entry;
  return result;
}

/**
 * Returns the configuration that results from applying a note; neither argument is modified. The
 * note must have passed `checkReleaseNote` against the same configuration.
 */
export function applyReleaseNote(config: ClusterConfig, note: ReleaseNote): ClusterConfig {
  const selectChanges = <K extends EntryKind>(kind: K) => ({
    added: note.added[kind],
    changed: note.changed[kind],
    withdrawn: note.withdrawn[kind],
  });
  return {
    number: note.number,
    teams: applyEntries(config.teams, selectChanges('teams')),
    keys: applyEntries(config.keys, selectChanges('keys')),
    queues: applyEntries(config.queues, selectChanges('queues')),
    endpointRules: applyEntries(config.endpointRules, selectChanges('endpointRules')),
  };
}
