import type { NoteEntries, ReleaseNote } from '@lagoongap/model/releaseNote.js';
import fc from 'fast-check';

const name = fc.stringMatching(/^[a-z0-9][a-z0-9._-]{0,12}$/).filter((text) => !(text in {}));
const names = fc.uniqueArray(name, { minLength: 1, maxLength: 4 });
const amount = fc.option(fc.nat(), { nil: undefined });

const team = fc.record({
  name,
  share: fc.double({ min: 0.001, max: 1e6, noNaN: true }),
  limit: fc.record({ cpuMillis: amount, tasks: amount }),
});

const key = fc.record({
  id: name,
  hash: fc.stringMatching(/^[0-9a-f]{64}$/),
  role: fc.constantFrom('endpoint' as const, 'operator' as const),
});

const queue = fc.record({
  name,
  kind: fc.constantFrom('service' as const, 'batch' as const, 'gang' as const, 'request' as const),
  open: fc.constant(false),
  teams: fc.option(names, { nil: undefined }),
  priority: fc.nat({ max: 999 }),
  works: names,
  maxWaiting: fc.integer({ min: 1, max: 1e6 }),
});

const rule = fc.record({
  name,
  match: fc.record({ rack: fc.option(name, { nil: undefined }) }),
  works: names,
});

function buildNote(entries: NoteEntries): ReleaseNote {
  const empty = { teams: [], keys: [], queues: [], endpointRules: [] };
  return {
    number: 1,
    comment: 'random "note"\n',
    added: entries,
    changed: empty,
    withdrawn: empty,
  };
}

/** Generates notes that add random valid entries. */
export const anyNote: fc.Arbitrary<ReleaseNote> = fc
  .record({
    teams: fc.uniqueArray(team, { selector: (entry) => entry.name, maxLength: 4 }),
    keys: fc.uniqueArray(key, { selector: (entry) => entry.id, maxLength: 4 }),
    queues: fc.uniqueArray(queue, { selector: (entry) => entry.name, maxLength: 4 }),
    endpointRules: fc.uniqueArray(rule, { selector: (entry) => entry.name, maxLength: 4 }),
  })
  .map(buildNote);

/** Generates texts that consist of TOML fragments and random strings. */
export const anyTomlText: fc.Arbitrary<string> = fc
  .array(
    fc.oneof(
      fc.string({ maxLength: 8 }),
      fc.constantFrom('[[added.teams]]\n', '[', ']', '{', '}', '=', '\n', '"', "'''", '"""', '\\'),
      fc.constantFrom('number = 1\n', 'name = "a"\n', 'share = nan\n', 'teams', 'added.', ', '),
      fc.constantFrom('[http]\n', 'port = 1\n', '[[peering.peers]]\n', '[timing]\n', '# x\n'),
    ),
    { maxLength: 20 },
  )
  .map((parts) => parts.join(''));
