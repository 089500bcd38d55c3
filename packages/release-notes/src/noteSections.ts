import type { PartialNote } from './partialNote.js';

/** Kinds of entries in a release note, in the order in which they are processed. */
export const ENTRY_KINDS = ['teams', 'keys', 'queues', 'endpointRules'] as const;

export type EntryKind = (typeof ENTRY_KINDS)[number];

/** Singular form of each kind, for messages. */
export const KIND_LABELS: Readonly<Record<EntryKind, string>> = {
  teams: 'team',
  keys: 'key',
  queues: 'queue',
  endpointRules: 'endpoint rule',
};

/** Returns the name of the field that identifies an entry of a kind. */
export function identifierField(kind: EntryKind): 'id' | 'name' {
  return kind === 'keys' ? 'id' : 'name';
}

/** Returns the identifier of an entry. */
export function identifyEntry(entry: { id: string } | { name: string }): string {
  return 'id' in entry ? entry.id : entry.name;
}

/**
 * Returns the identifiers of the entries of one kind in one section. An entry without an identifier
 * gives `undefined`, so that indexes match those of the entries.
 */
export function listIdentifiers(
  note: PartialNote,
  section: 'added' | 'changed' | 'withdrawn',
  kind: EntryKind,
): (string | undefined)[] {
  if (section === 'withdrawn') return note.withdrawn[kind];
  const entries: ({ id?: string; name?: string } | undefined)[] = note[section][kind];
  return entries.map((entry) => entry?.[identifierField(kind)]);
}
