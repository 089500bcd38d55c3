import type { ReleaseNote } from '@lagoongap/model/releaseNote.js';
import { stringify } from 'smol-toml';

import { ENTRY_KINDS, identifierField } from './noteSections.js';

/** Omits empty lists, and the whole section if none is left, to keep them out of the TOML. */
function omitEmptyLists(section: Record<string, unknown[]>): Record<string, unknown[]> | undefined {
  const nonEmpty = Object.entries(section).filter(([, entries]) => entries.length > 0);
  return nonEmpty.length > 0 ? Object.fromEntries(nonEmpty) : undefined;
}

/** Serialises a note as TOML that parses to an equal note. */
export function encodeReleaseNote(note: ReleaseNote): string {
  const withdrawn: Record<string, unknown[]> = {};
  for (const kind of ENTRY_KINDS) {
    withdrawn[kind] = note.withdrawn[kind].map((name) => ({ [identifierField(kind)]: name }));
  }
  const document: Record<string, unknown> = {
    number: note.number,
    comment: note.comment,
    added: omitEmptyLists({ ...note.added }),
    changed: omitEmptyLists({ ...note.changed }),
    withdrawn: omitEmptyLists(withdrawn),
  };
  // A JSON round trip drops `undefined` properties, which TOML cannot represent.
  return `${stringify(JSON.parse(JSON.stringify(document)))}\n`;
}
