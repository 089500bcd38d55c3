import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';
import type { NoteEntries, ReleaseNote } from '@lagoongap/model/releaseNote.js';
import { TomlLines, type TomlPath } from '@lagoongap/model/tomlLines.js';
import { createKey, hashKey, isEqualConstantTime } from '@lagoongap/release-notes/accessKeys.js';
import { encodeReleaseNote } from '@lagoongap/release-notes/encodeReleaseNote.js';
import { hashReleaseNote } from '@lagoongap/release-notes/hashReleaseNote.js';
import { parseReleaseNote } from '@lagoongap/release-notes/parseReleaseNote.js';
import fc from 'fast-check';

import { anyNote, anyTomlText } from './noteArbitraries.js';

interface HashWorld {
  texts?: Record<string, string>;
}

function hashToml(toml: string): string {
  const { note, faults } = parseReleaseNote(toml);
  assert.deepEqual(faults, []);
  return hashReleaseNote(note!);
}

function reverseEntries(note: ReleaseNote): ReleaseNote {
  const reversed = Object.entries(note.added).map(([kind, entries]: [string, object[]]) => [
    kind,
    entries.map((entry) => Object.fromEntries(Object.entries(entry).reverse())).reverse(),
  ]);
  return { ...note, added: Object.fromEntries(reversed) as NoteEntries };
}

/** Generates a document and the expected line of each value. */
function generateDocument(
  keys: string[],
  arrays: number,
): { text: string; expectedLines: [TomlPath, number][] } {
  const lines: string[] = [];
  const expectedLines: [TomlPath, number][] = [];
  const write = (line: string, path?: TomlPath): void => {
    lines.push(line);
    if (path) expectedLines.push([path, lines.length]);
  };
  keys.forEach((key, index) => {
    const parent = index === 0 ? [] : [`after-${index - 1}`];
    write(`# ${key} = [`);
    write(`${JSON.stringify(key)} = """\n[x]\n" = \\""""`, [...parent, key]);
    lines.push(...lines.pop()!.split('\n'));
    write(`[table-${index}]`, [`table-${index}`]);
    write(`a.b = { c = [1,`, [`table-${index}`, 'a', 'b', 'c', 0]);
    write(`  { d = ']' }] }`, [`table-${index}`, 'a', 'b', 'c', 1, 'd']);
    for (let element = 0; element < arrays; element++) {
      write(`[[table-${index}.list]]`, [`table-${index}`, 'list', element]);
      write(`  [table-${index}.list.sub]`, [`table-${index}`, 'list', element, 'sub']);
      write(`x = 1`, [`table-${index}`, 'list', element, 'sub', 'x']);
    }
    write(`[after-${index}]`);
  });
  return { text: lines.join('\n'), expectedLines };
}

Given(
  'the release note text {string}:',
  function setText(this: HashWorld, name: string, text: string) {
    this.texts = { ...this.texts, [name]: text };
  },
);

Then(
  'the release notes {string} and {string} have {word} hashes',
  function compareHashes(this: HashWorld, first: string, second: string, relation: string) {
    const isEqual = hashToml(this.texts![first]!) === hashToml(this.texts![second]!);
    assert.equal(isEqual, relation === 'equal');
  },
);

Then(
  '{int} random notes keep their hash when they are encoded in reverse order',
  (runs: number) => {
    const keepsHash = (note: ReleaseNote): void => {
      const hash = hashReleaseNote(note);
      assert.equal(hashToml(encodeReleaseNote(note)), hash);
      assert.equal(hashToml(`# comment\n${encodeReleaseNote(reverseEntries(note))}`), hash);
    };
    fc.assert(fc.property(anyNote, keepsHash), { numRuns: runs });
  },
);

Then('{int} random texts are parsed to either a note or faults', (runs: number) => {
  const isParsed = (text: string): void => {
    const { note, faults } = parseReleaseNote(text);
    assert.equal(note === undefined, faults.length > 0);
  };
  fc.assert(fc.property(anyTomlText, isParsed), { numRuns: runs });
});

Then('a text of {int} nested lists is refused', (depth: number) => {
  assert.equal(parseReleaseNote(`number = ${'['.repeat(depth)}`).note, undefined);
});

Then('{int} random documents have every key located at its line', (runs: number) => {
  const keys = fc.uniqueArray(fc.stringMatching(/^[a-z. "\\#=[\]-]{1,8}$/), { maxLength: 4 });
  const isLocated = (names: string[], arrays: number): void => {
    const { text, expectedLines } = generateDocument(names, arrays);
    const [tomlLines, linesWithBom] = [new TomlLines(text), new TomlLines(`\uFEFF${text}`)];
    for (const [path, line] of expectedLines) assert.equal(linesWithBom.locate(path), line, text);
    for (const [path, line] of expectedLines) assert.equal(tomlLines.locate(path), line, text);
  };
  fc.assert(fc.property(keys, fc.nat({ max: 3 }), isLocated), { numRuns: runs });
});

Then(
  'a created key has a secret of {int} characters that begins with {string} and matches its hash',
  (length: number, prefix: string) => {
    const { secret, hash } = createKey();
    assert.equal(secret.length, length);
    assert.ok(secret.startsWith(prefix));
    assert.ok(isEqualConstantTime(hashKey(secret), hash));
    assert.ok(!isEqualConstantTime(hashKey(`${secret}x`), hash));
  },
);

Then('two created keys differ', () => {
  const [first, second] = [createKey(), createKey()];
  assert.notEqual(first.secret, second.secret);
  assert.notEqual(first.id, second.id);
});
