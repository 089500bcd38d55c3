import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';

import { After, Given, Then, When } from '@cucumber/cucumber';

interface Steps {
  programFolder: string;
  cachedProgram: string;
  programOutput: string;
  roleFlags: string[];
}

const LAUNCHER = path.resolve('platform/lib/launch.js');
const WRITER = path.resolve('platform/lib/writeCodeCaches.js');

function createProgram(steps: Steps, text = 'works'): void {
  steps.cachedProgram = path.join(steps.programFolder, 'program.cjs');
  const source = `console.log('${text}', process.env.LAGOONGAP_CODE_CACHE);`;
  fs.writeFileSync(steps.cachedProgram, source);
}

/** Starts the program as a role of a deploy file does. */
function launch(steps: Steps, flags: string, ...args: string[]): string {
  const launcher = path.join(steps.programFolder, 'launch.mjs');
  fs.writeFileSync(launcher, `await import(${JSON.stringify(LAUNCHER)});`);
  const command = [...flags.split(' ').filter(Boolean), launcher, ...args];
  return execFileSync(process.execPath, command, { encoding: 'utf8' }).trim();
}

After(function remove(this: Partial<Steps>) {
  if (this.cachedProgram !== undefined) fs.rmSync(this.programFolder!, { recursive: true });
});

Given(
  'a program whose code cache was written under the flags {string}',
  function write(this: Steps, flags: string) {
    this.programFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'lagoongap-'));
    createProgram(this);
    launch(this, flags, 'write-code-cache');
  },
);

Given('nothing changes', () => undefined);

Given('the program is replaced', function replace(this: Steps) {
  createProgram(this, 'works with other code');
});

Given('the cache is cut short', function cut(this: Steps) {
  const name = fs.readdirSync(this.programFolder).find((it) => it.endsWith('.cache'))!;
  fs.truncateSync(path.join(this.programFolder, name), 100);
});

When('it runs under the flags {string}', function run(this: Steps, flags: string) {
  this.programOutput = launch(this, flags);
});

Then('it works, and its code cache is {string}', function check(this: Steps, use: string) {
  assert.match(this.programOutput, new RegExp(`^works.* ${use}$`));
});

Given(
  'a deploy file with the node flags {string} and {string}',
  function createDeployFile(this: Steps, first: string, second: string) {
    this.programFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'lagoongap-'));
    createProgram(this);
    this.roleFlags = [first, second];
    launch(this, '');
    const roles = this.roleFlags.map(
      (flags, i) =>
        `[roles.role-${i}]\nrun = "node ${flags} ${this.programFolder}/launch.mjs role-${i}"\n`,
    );
    fs.writeFileSync(path.join(this.programFolder, 'system.toml'), roles.join(''));
  },
);

When('the code caches of its roles are written', function write(this: Steps) {
  execFileSync(process.execPath, [WRITER, path.join(this.programFolder, 'system.toml')]);
});

Then('the program of each role starts with its code cache', function check(this: Steps) {
  for (const flags of this.roleFlags) assert.equal(launch(this, flags), 'works used');
});
