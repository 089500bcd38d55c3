import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import type { DeepPartial } from '@lagoongap/model/deepPartial.js';
import type { NoteFault, ReleaseNote } from '@lagoongap/model/releaseNote.js';
import {
  explainShapeIssues,
  explainSyntaxError,
  parseValidParts,
  type ShapeIssue,
} from '@lagoongap/model/shapeFaults.js';
import { toError } from '@lagoongap/model/toError.js';
import { TomlLines } from '@lagoongap/model/tomlLines.js';
import { parse } from 'smol-toml';
import type { z } from 'zod';

import { checkReleaseNote } from './checkReleaseNote.js';
import type { FaultyEntries, FaultyNote } from './faultyNote.js';
import { checkNoteEntries } from './checkNoteEntries.js';
import { noteShape } from './noteShape.js';

/** Result of parsing a release note. */
export interface ParsedNote {
  /** The note; present only if there is no fault. */
  note?: ReleaseNote;
  /** Every fault in the order of lines. */
  faults: NoteFault[];
  /** Lines of the text, for checks against a configuration later on. */
  lines: TomlLines;
}

/** Deepest nesting that is read; a note needs five levels. */
const MAX_DEPTH = 16;

/** Shaped document; parts are missing where it has faults. */
type FaultyDocument = DeepPartial<z.output<typeof noteShape>>;

function buildEntries(section: FaultyDocument['added']): FaultyEntries {
  const { teams = [], keys = [], queues = [], endpointRules = [] } = section ?? {};
  return { teams, keys, queues, endpointRules };
}

function buildNote(shaped: FaultyDocument): FaultyNote {
  const { number, comment, added, changed, withdrawn = {} } = shaped;
  const { teams = [], keys = [], queues = [], endpointRules = [] } = withdrawn;
  return {
    number,
    ...(comment !== undefined && { comment }),
    added: buildEntries(added),
    changed: buildEntries(changed),
    withdrawn: {
      teams: teams.map((entry) => entry?.name),
      keys: keys.map((entry) => entry?.id),
      queues: queues.map((entry) => entry?.name),
      endpointRules: endpointRules.map((entry) => entry?.name),
    },
  };
}

function findFaults(note: ReleaseNote, lines: TomlLines, config?: ClusterConfig): NoteFault[] {
  return config ? checkReleaseNote(note, config, lines) : checkNoteEntries(note, lines);
}

/**
 * Parses the TOML text of a release note and checks it. Raises no error; faults are listed in
 * the result.
 *
 * @param config - Configuration in force; without it only checks that need none are made.
 */
export function parseReleaseNote(toml: string, config?: ClusterConfig): ParsedNote {
  let document: unknown;
  try {
    document = parse(toml, { maxDepth: MAX_DEPTH });
  } catch (err) {
    return { faults: [explainSyntaxError(toError(err))], lines: new TomlLines('') };
  }
  const lines = new TomlLines(toml);
  const shaped = noteShape.safeParse(document);
  if (!shaped.success) {
    const issues = shaped.error.issues as ShapeIssue[];
    const shapeFaults = explainShapeIssues(issues, noteShape, document, lines);
    const rest = buildNote(parseValidParts(noteShape, document) as FaultyDocument);
    const faults = [...shapeFaults, ...checkNoteEntries(rest, lines)];
    return { faults: faults.sort((a, b) => a.line - b.line), lines };
  }
  const note = buildNote(shaped.data) as ReleaseNote;
  const faults = findFaults(note, lines, config);
  return faults.length > 0 ? { faults, lines } : { note, faults, lines };
}
