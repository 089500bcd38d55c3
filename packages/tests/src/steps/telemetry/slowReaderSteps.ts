import assert from 'node:assert/strict';
import { type ChildProcess, spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import { After, Given, Then } from '@cucumber/cucumber';

interface ReaderWorld {
  program?: ChildProcess;
  lines: string[];
  report: Promise<{ longestPauseMs: number; leftOut: number }>;
}

const SCRIPT = fileURLToPath(new URL('../../harness/logWriter.js', import.meta.url));
const TIMEOUT = { timeout: 30_000 };

function start(world: ReaderWorld, lineCount: number): ChildProcess {
  const program = spawn(process.execPath, [SCRIPT, String(lineCount)], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  world.program = program;
  world.lines = [];
  world.report = new Promise((resolve) => {
    createInterface({ input: program.stderr }).on('line', (line) => resolve(JSON.parse(line)));
  });
  return program;
}

After(function end(this: ReaderWorld) {
  this.program?.kill('SIGKILL');
});

Given(
  'a program that logs {int} lines while nobody reads its output',
  function logUnread(this: ReaderWorld, count: number) {
    start(this, count);
  },
);

Given(
  'a program that logs {int} lines while its output is read',
  function logRead(this: ReaderWorld, count: number) {
    const { stdout } = start(this, count);
    createInterface({ input: stdout! }).on('line', (line) => this.lines.push(line));
  },
);

Then(
  'the program goes on, with no pause of its event loop above {int} ms',
  TIMEOUT,
  async function checkPause(this: ReaderWorld, mostMs: number) {
    const { longestPauseMs } = await this.report;
    assert.ok(longestPauseMs < mostMs, `paused for ${longestPauseMs} ms`);
  },
);

Then('the program has left out lines', TIMEOUT, async function checkLeftOut(this: ReaderWorld) {
  const { leftOut } = await this.report;
  assert.ok(leftOut > 0);
});

Then(
  '{int} lines of the program were read in order',
  TIMEOUT,
  async function checkLines(this: ReaderWorld, count: number) {
    const { leftOut } = await this.report;
    assert.equal(leftOut, 0);
    const numbers = this.lines.map((line) => (JSON.parse(line) as { line: number }).line);
    assert.deepEqual(
      numbers,
      Array.from({ length: count }, (_, index) => index),
    );
  },
);
