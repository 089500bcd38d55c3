import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import type { DeepPartial } from '@lagoongap/model/deepPartial.js';
import type { NoteFault, ReleaseNote } from '@lagoongap/model/releaseNote.js';
import {
  explainSchemaIssues,
  explainSyntaxError,
  parseValidParts,
  type SchemaIssue,
} from '@lagoongap/model/schemaFaults.js';
import { toError } from '@lagoongap/model/toError.js';
import { TomlLines } from '@lagoongap/model/tomlLines.js';
import { parse } from 'smol-toml';
import type { z } from 'zod';

import { checkNoteEntries } from './checkNoteEntries.js';
import { checkReleaseNote } from './checkReleaseNote.js';
import { noteSchema } from './noteSchema.js';
import type { PartialEntries, PartialNote } from './partialNote.js';

/** Result of parsing a release note. */
export interface ParsedNote {
  /** The note; present only if there is no fault. */
  note?: ReleaseNote;
  /** All faults, sorted by line. */
  faults: NoteFault[];
  /** Maps TOML paths to lines, for later checks against a configuration. */
  lines: TomlLines;
}

/** Maximum nesting depth that the parser accepts; a note needs five levels. */
const MAX_DEPTH = 16;

/** Document that matches the schema except for invalid parts, which are missing. */
type PartialDocument = DeepPartial<z.output<typeof noteSchema>>;

function buildEntries(section: PartialDocument['added']): PartialEntries {
  const { teams = [], keys = [], queues = [], endpointRules = [] } = section ?? {};
  return { teams, keys, queues, endpointRules };
}

function buildNote(document: PartialDocument): PartialNote {
  const { number, comment, added, changed, withdrawn = {} } = document;
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

function checkNote(note: ReleaseNote, lines: TomlLines, config?: ClusterConfig): NoteFault[] {
  return config ? checkReleaseNote(note, config, lines) : checkNoteEntries(note, lines);
}

/**
 * Parses and checks the TOML text of a release note. Never throws; faults are listed in the
 * result.
 *
 * @param config - Configuration in force; if absent, only `checkNoteEntries` is applied.
 */
export function parseReleaseNote(toml: string, config?: ClusterConfig): ParsedNote {
  let document: unknown;
  try {
    document = parse(toml, { maxDepth: MAX_DEPTH });
  } catch (err) {
    return { faults: [explainSyntaxError(toError(err))], lines: new TomlLines('') };
  }
  const lines = new TomlLines(toml);
  const parsed = noteSchema.safeParse(document);
  if (!parsed.success) {
    const issues = parsed.error.issues as SchemaIssue[];
    const shapeFaults = explainSchemaIssues(issues, noteSchema, document, lines);
    const rest = buildNote(parseValidParts(noteSchema, document) as PartialDocument);
    const faults = [...shapeFaults, ...checkNoteEntries(rest, lines)];
    return { faults: faults.sort((a, b) => a.line - b.line), lines };
  }
  const note = buildNote(parsed.data) as ReleaseNote;
  const faults = checkNote(note, lines, config);
  return faults.length > 0 ? { faults, lines } : { note, faults, lines };
}
