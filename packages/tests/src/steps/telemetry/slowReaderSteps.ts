import assert from 'node:assert/strict';
import { type ChildProcess, spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import { After, Given, Then } from '@cucumber/cucumber';

interface LogReaderWorld {
  program?: ChildProcess;
  lines: string[];
  report: Promise<{ longestPauseMs: number; leftOut: number }>;
}

const SCRIPT = fileURLToPath(new URL('../../harness/logWriter.js', import.meta.url));
const TIMEOUT = { timeout: 30_000 };

function startProgram(world: LogReaderWorld, lineCount: number): ChildProcess {
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

After(function stopProgram(this: LogReaderWorld) {
  this.program?.kill('SIGKILL');
});

Given(
  'a program that logs {int} lines while its output is not read',
  function logUnread(this: LogReaderWorld, count: number) {
    startProgram(this, count);
  },
);

Given(
  'a program that logs {int} lines while its output is read',
  function logRead(this: LogReaderWorld, count: number) {
    const { stdout } = startProgram(this, count);
    createInterface({ input: stdout! }).on('line', (line) => this.lines.push(line));
  },
);

Then(
  'the program finishes without an event-loop pause above {int} ms',
  TIMEOUT,
  async function checkPause(this: LogReaderWorld, maxPauseMs: number) {
    const { longestPauseMs } = await this.report;
    assert.ok(longestPauseMs < maxPauseMs, `paused for ${longestPauseMs} ms`);
  },
);

Then('the program has dropped lines', TIMEOUT, async function checkDropped(this: LogReaderWorld) {
  const { leftOut } = await this.report;
  assert.ok(leftOut > 0);
});

Then(
  '{int} lines of the program were read in order',
  TIMEOUT,
  async function checkLines(this: LogReaderWorld, count: number) {
    const { leftOut } = await this.report;
    assert.equal(leftOut, 0);
    const numbers = this.lines.map((line) => (JSON.parse(line) as { line: number }).line);
    assert.deepEqual(
      numbers,
      Array.from({ length: count }, (_, index) => index),
    );
  },
);
