import assert from 'node:assert/strict';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

import { Given, Then, When } from '@cucumber/cucumber';
import type { DaemonSettings } from '@lagoongap/settings/daemonSettings.js';
import {
  createExampleCell,
  type ExampleCellOptions,
  renderSettings,
} from '@lagoongap/settings/exampleSettings.js';
import { loadSettings, parseSettings } from '@lagoongap/settings/loadSettings.js';
import { SettingsError } from '@lagoongap/settings/settingsError.js';
import fc from 'fast-check';

import { anyTomlText } from '../release-notes/noteArbitraries.js';

interface SettingsWorld {
  text: string;
  settings?: DaemonSettings;
  error?: SettingsError;
}

const FILE = 'folder/settings.toml';
const CERTIFICATE_FILES = ['instance.crt', 'instance.key', 'peers-ca.crt'];

function capture(world: SettingsWorld, load: () => DaemonSettings): void {
  try {
    world.settings = load();
  } catch (err) {
    assert.ok(err instanceof SettingsError, String(err));
    world.error = err;
  }
}

/** Loads an example from a folder that has placeholders for the certificate files it refers to. */
function loadExample(name: string): DaemonSettings {
  const folder = mkdtempSync(join(tmpdir(), 'lagoongap-settings-'));
  try {
    mkdirSync(join(folder, 'tls'));
    for (const file of CERTIFICATE_FILES) writeFileSync(join(folder, 'tls', file), '');
    const text = readFileSync(`examples/${name}`, 'utf8');
    return parseSettings(text, join(folder, name));
  } finally {
    rmSync(folder, { recursive: true });
  }
}

Given('the settings text:', function setText(this: SettingsWorld, text: string) {
  this.text = text;
});

When(
  /^line (\d+) of the settings text becomes "(.*)"$/s,
  function replaceLine(this: SettingsWorld, line: string, replacement: string) {
    const lines = this.text.split('\n');
    lines[Number(line) - 1] = replacement.replaceAll('\\n', '\n');
    this.text = lines.join('\n');
  },
);

When('the settings text is parsed', function parse(this: SettingsWorld) {
  capture(this, () => parseSettings(this.text, FILE));
});

When('the settings file {string} is loaded', function load(this: SettingsWorld, file: string) {
  capture(this, () => loadSettings(file));
});

When(
  'the example {string} is loaded with placeholder certificate files',
  function loadNamedExample(this: SettingsWorld, name: string) {
    capture(this, () => loadExample(name));
  },
);

Then(
  /^the setting "(.*)" is (.*)$/,
  function checkSetting(this: SettingsWorld, key: string, json: string) {
    let value: unknown = this.settings;
    for (const name of key.split('.')) value = (value as Record<string, unknown>)[name];
    assert.deepEqual(value, JSON.parse(json));
  },
);

Then(
  'the data folder is resolved against the folder of the settings file',
  function checkDataFolder(this: SettingsWorld) {
    assert.equal(this.settings!.storage!.dataFolder, resolve('folder/data'));
  },
);

Then('the settings have no fault', function checkNoFault(this: SettingsWorld) {
  assert.equal(this.error, undefined);
  assert.ok(this.settings);
});

Then(
  /^the settings have one fault at line (\d+) for "(.*)" that says "(.*)"$/,
  function checkFault(this: SettingsWorld, line: string, key: string, message: string) {
    const { faults, message: text } = this.error!;
    assert.equal(faults.length, 1, text);
    assert.equal(faults[0]!.line, Number(line), text);
    assert.equal(faults[0]!.path, key);
    assert.ok(faults[0]!.message.includes(message), text);
    assert.ok(!text.includes('lgk_'), 'the message contains a secret');
  },
);

Then(
  'the settings have faults at lines {string}',
  function checkLines(this: SettingsWorld, lines: string) {
    const { faults, message } = this.error!;
    assert.equal(faults.map((fault) => fault.line).join(), lines, message);
  },
);

Then(
  'the settings error contains the file, line and key of each fault',
  function checkText(this: SettingsWorld) {
    const { faults, message } = this.error!;
    for (const { line, path } of faults) assert.ok(message.includes(`${FILE}:${line}: ${path}: `));
  },
);

Then(
  'the settings list {int} peers, {int} of them replicas',
  function checkPeers(this: SettingsWorld, count: number, replicas: number) {
    const { peers } = this.settings!.peering;
    assert.equal(peers.length, count);
    assert.equal(peers.filter((peer) => peer.roles.includes('replica')).length, replicas);
  },
);

Then(
  'the settings equal those of the first generated instance',
  function compareGenerated(this: SettingsWorld) {
    const [first] = createExampleCell();
    const generated = parseSettings(renderSettings(first!), 'examples/nine.toml');
    const dataFolder = resolve('examples', first!.storage!.dataFolder!);
    const storage = { ...this.settings!.storage!, dataFolder };
    assert.deepEqual({ ...this.settings!, storage }, generated);
  },
);

Then(
  'the example {string} has a lower packing weight than {string}',
  (first: string, second: string) => {
    const readWeight = (name: string): number => loadExample(name).scheduling.packingWeight;
    assert.ok(readWeight(first) < readWeight(second));
  },
);

Then('{int} random texts are parsed to settings or to a settings error', (runs: number) => {
  const tryParse = (text: string): void => capture({ text }, () => parseSettings(text, FILE));
  fc.assert(fc.property(anyTomlText, tryParse), { numRuns: runs });
});

Then('{int} random cells are rendered and parsed without loss', (runs: number) => {
  const options = fc.record({
    instances: fc.integer({ min: 3, max: 9 }),
    replicas: fc.integer({ min: 1, max: 3 }),
    firstHttpPort: fc.integer({ min: 0, max: 60000 }),
    dataFolder: fc.stringMatching(/^\/[ -~]{1,20}$/),
  });
  const checkRoundTrip = (opts: ExampleCellOptions): void => {
    for (const settings of createExampleCell(opts)) {
      const parsed = parseSettings(renderSettings(settings), FILE);
      assert.deepEqual(parseSettings(renderSettings(parsed), FILE), parsed);
      assert.equal(parsed.http.port, settings.http!.port);
      assert.deepEqual(parsed.peering.peers, settings.peering!.peers);
    }
  };
  fc.assert(fc.property(options, checkRoundTrip), { numRuns: runs });
});
