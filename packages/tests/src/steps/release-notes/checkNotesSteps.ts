import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';

import { Given, Then, When } from '@cucumber/cucumber';
import { type ClusterConfig, createEmptyConfig } from '@lagoongap/model/clusterConfig.js';
import { applyReleaseNote } from '@lagoongap/release-notes/applyReleaseNote.js';
import { diffConfigs, formatConfigDiff } from '@lagoongap/release-notes/diffConfigs.js';
import { type ParsedNote, parseReleaseNote } from '@lagoongap/release-notes/parseReleaseNote.js';

interface NoteWorld {
  config: ClusterConfig;
  parsed: ParsedNote;
}

function parseExample(): ParsedNote {
  return parseReleaseNote(readFileSync('examples/first-note.toml', 'utf8'), createEmptyConfig());
}

function listTeams(config: ClusterConfig): string {
  return Object.keys(config.teams).sort().join();
}

Given('the configuration of the example release note', function useExample(this: NoteWorld) {
  this.config = applyReleaseNote(createEmptyConfig(), parseExample().note!);
});

When('this release note is checked:', function checkNote(this: NoteWorld, toml: string) {
  this.parsed = parseReleaseNote(toml, this.config);
});

Then('the example note has no faults', () => {
  assert.deepEqual(parseExample().faults, []);
});

Then('the note has no faults', function checkNoFaults(this: NoteWorld) {
  assert.deepEqual(this.parsed.faults, []);
});

Then(
  /^the note has one fault at line (\d+) for "(.*)" that says "(.*)"$/,
  function checkFault(this: NoteWorld, line: string, path: string, message: string) {
    const { faults } = this.parsed;
    assert.equal(faults.length, 1, JSON.stringify(faults));
    assert.equal(faults[0]!.line, Number(line), JSON.stringify(faults));
    assert.equal(faults[0]!.path, path);
    assert.ok(faults[0]!.message.includes(message), faults[0]!.message);
    assert.equal(this.parsed.note, undefined);
  },
);

Then('the note has faults at lines {string}', function checkLines(this: NoteWorld, lines: string) {
  assert.equal(this.parsed.faults.map((fault) => fault.line).join(), lines);
});

Then(
  'the configuration after the note has number {int} and teams {string}',
  function checkAfter(this: NoteWorld, number: number, teams: string) {
    const after = applyReleaseNote(this.config, this.parsed.note!);
    assert.equal(after.number, number);
    assert.equal(listTeams(after), teams);
  },
);

Then(
  'the configuration before the note still has teams {string}',
  function checkBefore(this: NoteWorld, teams: string) {
    assert.equal(listTeams(this.config), teams);
  },
);

Then('the diff of the note is:', function checkDiff(this: NoteWorld, text: string) {
  const after = applyReleaseNote(this.config, this.parsed.note!);
  assert.equal(formatConfigDiff(diffConfigs(this.config, after)).trimEnd(), text);
});
