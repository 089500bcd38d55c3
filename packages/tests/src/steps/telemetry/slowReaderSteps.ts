import assert from 'node:assert/strict';
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import { After, Given, Then, When } from '@cucumber/cucumber';

interface LogReaderWorld {
  program?: ChildProcess;
  lines: string[];
  report: Promise<{ longestPauseMs: number; leftOut: number; byLevel: Record<string, number> }>;
}

const SCRIPT = fileURLToPath(new URL('../../harness/logWriter.js', import.meta.url));
const TIMEOUT = { timeout: 30_000 };

function startProgram(
  world: LogReaderWorld,
  lineCount: number,
  significantInterval = 0,
): ChildProcess {
  const args = [SCRIPT, String(lineCount), String(significantInterval)];
  const program = spawn(process.execPath, args, {
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
  'a program that logs {int} lines, every {int}th a change or failure, while its output is not read',
  function logSignificant(this: LogReaderWorld, count: number, interval: number) {
    startProgram(this, count, interval);
  },
);

When('its output is read in the end', TIMEOUT, async function readAll(this: LogReaderWorld) {
  await this.report;
  const reader = createInterface({ input: this.program!.stdout! });
  reader.on('line', (line) => this.lines.push(line));
  await once(reader, 'close');
});

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

Then(
  '{int} lines about changes and failures were read',
  function checkSignificant(this: LogReaderWorld, count: number) {
    const lines = this.lines.map((text) => JSON.parse(text) as { line?: number; level: string });
    const significant = lines.filter(({ line, level }) => line !== undefined && level !== 'info');
    assert.equal(significant.length, count);
  },
);

Then(
  'the output tells how many lines of each level were left out',
  async function checkReported(this: LogReaderWorld) {
    const { byLevel, leftOut } = await this.report;
    assert.ok(leftOut > 0);
    assert.deepEqual(byLevel, { debug: 0, info: leftOut, notice: 0, warn: 0, error: 0 });
    const reports = this.lines
      .map(
        (text) => JSON.parse(text) as { message?: string; byLevel: object; leftOutLines: number },
      )
      .filter(({ message }) => message === 'log lines left out');
    assert.deepEqual(
      reports.map((report) => [report.byLevel, report.leftOutLines]),
      [[{ info: leftOut }, leftOut]],
    );
  },
);
