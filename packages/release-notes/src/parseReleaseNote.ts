import type { NoteFault, ReleaseNote } from '@lagoongap/model/releaseNote.js';
import { explainShapeIssues, type ShapeIssue } from '@lagoongap/model/shapeFaults.js';
import { toError } from '@lagoongap/model/toError.js';
import { TomlLines } from '@lagoongap/model/tomlLines.js';
import { parse, TomlError } from 'smol-toml';
import type { z } from 'zod';

import { checkNoteEntries } from './checkNoteEntries.js';
import { noteShape } from './noteShape.js';

/** Result of parsing a release note. */
export interface ParsedNote {
  /** The note; present only if there is no fault. */
  note?: ReleaseNote;
  /** Every fault that can be found without a configuration. */
  faults: NoteFault[];
  /** Lines of the text, for checks against a configuration. */
  lines: TomlLines;
}

/** Deepest nesting that is read; a note needs five levels. */
const MAX_DEPTH = 16;

function explainSyntaxError(err: unknown): NoteFault {
  if (err instanceof TomlError) {
    const [reason] = err.message.replace('Invalid TOML document: ', '').split('\n');
    const message = `not valid TOML: ${reason} (column ${err.column})`;
    return { line: err.line, path: '', message };
  }
  return { line: 0, path: '', message: `not valid TOML: ${toError(err).message}` };
}

function buildNote(shaped: z.output<typeof noteShape>): ReleaseNote {
  const { number, comment, added, changed, withdrawn } = shaped;
  const note: ReleaseNote = {
    number,
    added,
    changed,
    withdrawn: {
      teams: withdrawn.teams.map((entry) => entry.name),
      keys: withdrawn.keys.map((entry) => entry.id),
      queues: withdrawn.queues.map((entry) => entry.name),
      endpointRules: withdrawn.endpointRules.map((entry) => entry.name),
    },
  };
  if (comment !== undefined) note.comment = comment;
  return note;
}

/**
 * Parses the TOML text of a release note and checks all that does not depend on the
 * configuration in force. Raises no error; faults are listed in the result.
 */
export function parseReleaseNote(toml: string): ParsedNote {
  const lines = new TomlLines(toml);
  let document: unknown;
  try {
    document = parse(toml, { maxDepth: MAX_DEPTH });
  } catch (err) {
    return { faults: [explainSyntaxError(err)], lines };
  }
  const shaped = noteShape.safeParse(document);
  if (!shaped.success) {
    const issues = shaped.error.issues as ShapeIssue[];
    return { faults: explainShapeIssues(issues, noteShape, document, lines), lines };
  }
  const note = buildNote(shaped.data);
  const faults = checkNoteEntries(note, lines);
  return faults.length > 0 ? { faults, lines } : { note, faults, lines };
}
