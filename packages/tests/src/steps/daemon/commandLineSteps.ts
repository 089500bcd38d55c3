import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';

import { Then, When } from '@cucumber/cucumber';

interface CommandLineWorld {
  code: number | null;
  output: string;
  error: string;
}

const SCRIPT = 'packages/daemon/bin/lagoongapd.js';
const TIMEOUT_MS = 20_000;

When(
  'the daemon command runs with {string}',
  { timeout: TIMEOUT_MS },
  function runDaemon(this: CommandLineWorld, commandLine: string) {
    const { status, stdout, stderr } = spawnSync(
      process.execPath,
      [SCRIPT, ...commandLine.split(' ')],
      {
        encoding: 'utf8',
        timeout: TIMEOUT_MS,
      },
    );
    this.code = status;
    this.output = stdout;
    this.error = stderr;
  },
);

Then(
  'it exits with code {int} and its error output contains {string}',
  function checkError(this: CommandLineWorld, code: number, text: string) {
    assert.equal(this.code, code);
    assert.ok(this.error.includes(text), this.error);
  },
);

Then(
  'it exits with code {int} and its output contains {string}',
  function checkOutput(this: CommandLineWorld, code: number, text: string) {
    assert.equal(this.code, code, this.error);
    assert.ok(this.output.includes(text), this.output);
  },
);
