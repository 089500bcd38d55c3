import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { hasOwnKey } from '@lagoongap/model/hasOwnKey.js';
import type { NoteFault, ReleaseNote } from '@lagoongap/model/releaseNote.js';
import type { TomlLines, TomlPath } from '@lagoongap/model/tomlLines.js';

import { applyReleaseNote } from './applyReleaseNote.js';
import { checkNoteEntries } from './checkNoteEntries.js';
import { NoteFaultList } from './noteFaultList.js';
import {
  ENTRY_KINDS,
  type EntryKind,
  identifierField,
  KIND_LABELS,
  listIdentifiers,
} from './noteSections.js';

/** Input of the checks against a configuration, and the list of faults found. */
interface CheckContext {
  note: ReleaseNote;
  before: ClusterConfig;
  after: ClusterConfig;
  list: NoteFaultList;
}

function checkExistence({ note, before, list }: CheckContext): void {
  for (const kind of ENTRY_KINDS) {
    const label = KIND_LABELS[kind];
    const existing = before[kind];
    for (const section of ['added', 'changed', 'withdrawn'] as const) {
      listIdentifiers(note, section, kind).forEach((name, index) => {
        if (name === undefined) return;
        const path = [section, kind, index, identifierField(kind)];
        const exists = hasOwnKey(existing, name);
        if (section === 'added' && exists) {
          list.add(path, `${label} "${name}" already exists; use [[changed.${kind}]]`);
        } else if (section !== 'added' && !exists) {
          const hint = list.suggest(name, Object.keys(existing));
          list.add(path, `${label} "${name}" does not exist${hint}`);
        }
      });
    }
  }
}

/** Returns the path of the added or changed entry with a given identifier. */
function findEntry(note: ReleaseNote, kind: EntryKind, name: string): TomlPath | undefined {
  for (const section of ['added', 'changed'] as const) {
    const index = listIdentifiers(note, section, kind).indexOf(name);
    if (index >= 0) return [section, kind, index];
  }
  return undefined;
}

/**
 * Reports a reference to a team that does not exist after the note. The fault points to the
 * referring entry if the note contains it, otherwise to the withdrawal of the team.
 */
function checkTeamReference(
  context: CheckContext,
  owner: { kind: 'keys' | 'queues'; name: string },
  reference: { team: string; path: TomlPath },
): void {
  const { note, after, list } = context;
  const { team } = reference;
  if (hasOwnKey(after.teams, team)) return;
  const entry = findEntry(note, owner.kind, owner.name);
  if (entry) {
    const hint = list.suggest(team, Object.keys(after.teams));
    list.add([...entry, ...reference.path], `team "${team}" does not exist${hint}`);
    return;
  }
  const index = note.withdrawn.teams.indexOf(team);
  const path: TomlPath = index >= 0 ? ['withdrawn', 'teams', index, 'name'] : [];
  const label = KIND_LABELS[owner.kind];
  const message = `team "${team}" is still referenced by ${label} "${owner.name}"`;
  list.add(path, `${message}; withdraw or change it in the same note`);
}

function checkReferences(context: CheckContext): void {
  for (const key of Object.values(context.after.keys)) {
    if (key.team === undefined) continue;
    const owner = { kind: 'keys', name: key.id } as const;
    checkTeamReference(context, owner, { team: key.team, path: ['team'] });
  }
  for (const queue of Object.values(context.after.queues)) {
    const owner = { kind: 'queues', name: queue.name } as const;
    queue.teams?.forEach((team, index) =>
      checkTeamReference(context, owner, { team, path: ['teams', index] }),
    );
    if (queue.chargedTeam !== undefined) {
      checkTeamReference(context, owner, { team: queue.chargedTeam, path: ['chargedTeam'] });
    }
  }
}

function checkKeyHashesAndOperators({ note, after, list }: CheckContext): void {
  const idsByHash = new Map<string, string>();
  for (const key of Object.values(after.keys)) {
    const sameHashId = idsByHash.get(key.hash);
    if (sameHashId !== undefined) {
      const entry = findEntry(note, 'keys', key.id) ?? findEntry(note, 'keys', sameHashId);
      const message = `keys "${sameHashId}" and "${key.id}" have the same hash`;
      list.add(entry ? [...entry, 'hash'] : [], message);
    }
    idsByHash.set(key.hash, key.id);
  }
  if (!Object.values(after.keys).some((key) => key.role === 'operator')) {
    list.add([], 'at least one key of role "operator" must remain in force');
  }
}

/**
 * Checks a note against the configuration in force, including the checks of `checkNoteEntries`.
 * The number must be above that of the configuration. A resent note that was accepted before must
 * therefore not be checked again; the caller recognises it by its hash.
 *
 * @param lines - Maps TOML paths to lines; if absent, faults have line 0.
 * @returns all faults, sorted by line; empty if the note can be applied.
 */
export function checkReleaseNote(
  note: ReleaseNote,
  config: ClusterConfig,
  lines?: TomlLines,
): NoteFault[] {
  const list = new NoteFaultList(lines);
  list.faults.push(...checkNoteEntries(note, lines));
  if (note.number <= config.number) {
    list.add(['number'], `must be above ${config.number}, the number of the newest accepted note`);
  }
  const after = applyReleaseNote(config, note);
  const context = { note, before: config, after, list };
  checkExistence(context);
  checkReferences(context);
  checkKeyHashesAndOperators(context);
  return list.sorted();
}
