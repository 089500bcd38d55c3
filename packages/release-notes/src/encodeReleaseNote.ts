import type { ReleaseNote } from '@lagoongap/model/releaseNote.js';
import { stringify } from 'smol-toml';

import { ENTRY_KINDS, identifierField } from './noteSections.js';

/** Removes empty sections, which would be written as empty tables and lists. */
function pickFilled(section: Record<string, unknown[]>): Record<string, unknown[]> | undefined {
  const filled = Object.entries(section).filter(([, entries]) => entries.length > 0);
  return filled.length > 0 ? Object.fromEntries(filled) : undefined;
}

/** Writes a note as TOML text that parses to an equal note. */
export function encodeReleaseNote(note: ReleaseNote): string {
  const withdrawn: Record<string, unknown[]> = {};
  for (const kind of ENTRY_KINDS) {
    withdrawn[kind] = note.withdrawn[kind].map((name) => ({ [identifierField(kind)]: name }));
  }
  const document: Record<string, unknown> = {
    number: note.number,
    comment: note.comment,
    added: pickFilled({ ...note.added }),
    changed: pickFilled({ ...note.changed }),
    withdrawn: pickFilled(withdrawn),
  };
  // A round trip through JSON removes properties that are undefined, which TOML cannot express.
  return `${stringify(JSON.parse(JSON.stringify(document)))}\n`;
}
