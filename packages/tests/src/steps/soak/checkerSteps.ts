import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { RunOutcome } from '@lagoongap/workflow/workflowRecords.js';

import { planFaults } from '../../soak/faultPlan.js';
import { SoakHistory, type CallOutcome } from '../../soak/soakHistory.js';

interface CheckerWorld {
  history: SoakHistory;
}

const CORE = 1000;
const LOAD_MS = 6000;

function split(run: string): { name: string; number: number } {
  const [name = '', number] = run.split(':');
  return { name, number: Number(number) };
}

function documentOf(version: number): string {
  return JSON.stringify({ version });
}

Given('a soak history with endpoints of {int} cores', function create(this: CheckerWorld, cores) {
  this.history = new SoakHistory(cores * CORE);
});

Given(
  'soak job {string} with steps of {int} and {int} tasks of {int} cores is handed in',
  function handIn(this: CheckerWorld, id: string, first: number, second: number, cores: number) {
    this.history.noteSubmission({ id, widths: [first, second], cpuMillis: cores * CORE });
  },
);

Given('the answer to soak job {string} is {string}', function answer(this: CheckerWorld, id, how) {
  this.history.noteAnswer(id, how as CallOutcome);
});

When('soak run {string} starts on {string}', function start(this: CheckerWorld, run: string, id) {
  this.history.noteStart(id, split(run).name);
});

When(
  'soak run {string} on {string} ends {string}',
  function end(this: CheckerWorld, run: string, id: string, outcome: string) {
    const { name, number } = split(run);
    this.history.noteStart(id, name);
    this.history.noteEnd(id, name, number, outcome as RunOutcome);
  },
);

When('the end of soak run {string} is taken note of', function note(this: CheckerWorld, run) {
  const { name, number } = split(run as string);
  this.history.noteNoted(name, number, 'done');
});

When('soak job {string} is shown as {string}', function show(this: CheckerWorld, id, state) {
  this.history.noteState(id, state);
});

When('soak job {string} is cancelled', function cancel(this: CheckerWorld, id: string) {
  this.history.noteCancelled(id);
});

When('soak configuration {int} is acknowledged', function ack(this: CheckerWorld, version: number) {
  this.history.noteConfigSent(version, documentOf(version));
  this.history.noteConfigAcked(version);
});

When('soak configuration {int} is read', function read(this: CheckerWorld, version: number) {
  this.history.noteConfigRead(documentOf(version), this.history.requiredVersion);
});

Then('the soak breaks no promise', function checkKept(this: CheckerWorld) {
  this.history.close();
  assert.deepEqual(this.history.violations, []);
});

Then('the soak breaks {string}', function checkBroken(this: CheckerWorld, text: string) {
  this.history.close();
  const { violations } = this.history;
  assert.ok(
    violations.some((violation) => violation.startsWith(text)),
    violations.join('; '),
  );
});

Then('the faults of soak seed {int} are the same each time', (seed: number) => {
  assert.deepEqual(planFaults(seed, LOAD_MS), planFaults(seed, LOAD_MS));
  assert.notDeepEqual(planFaults(seed, LOAD_MS), planFaults(seed + 1, LOAD_MS));
});
