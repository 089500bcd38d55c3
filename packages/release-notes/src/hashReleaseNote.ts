import type { NoteEntries, ReleaseNote } from '@lagoongap/model/releaseNote.js';

import { encodeCanonicalJson, hashText } from './canonicalJson.js';
import { identifyEntry } from './noteSections.js';

function compareTexts(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/**
 * Sorts entries by identifier. The order of entries, and of names in lists, has no meaning and must
 * not affect the hash.
 */
function sortEntries<T extends { id: string } | { name: string }>(entries: T[]): T[] {
  return [...entries].sort((a, b) => compareTexts(identifyEntry(a), identifyEntry(b)));
}

function sortNames(names: string[] | undefined): string[] | undefined {
  return names && [...names].sort(compareTexts);
}

function canonicaliseEntries(entries: NoteEntries): unknown {
  const queues = entries.queues.map((queue) => ({
    ...queue,
    teams: sortNames(queue.teams),
    works: sortNames(queue.works),
  }));
  const rules = entries.endpointRules.map((rule) => ({ ...rule, works: sortNames(rule.works) }));
  return {
    teams: sortEntries(entries.teams),
    keys: sortEntries(entries.keys),
    queues: sortEntries(queues as { name: string }[]),
    endpointRules: sortEntries(rules as { name: string }[]),
  };
}

/**
 * Returns the SHA-256 of a note's content. The hash does not depend on comments, formatting, key
 * order or entry order in the TOML text.
 */
export function hashReleaseNote(note: ReleaseNote): string {
  const canonical = {
    number: note.number,
    comment: note.comment,
    added: canonicaliseEntries(note.added),
    changed: canonicaliseEntries(note.changed),
    withdrawn: {
      teams: sortNames(note.withdrawn.teams),
      keys: sortNames(note.withdrawn.keys),
      queues: sortNames(note.withdrawn.queues),
      endpointRules: sortNames(note.withdrawn.endpointRules),
    },
  };
  return hashText(encodeCanonicalJson(canonical));
}
