import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { RunOutcome } from '@lagoongap/workflow/workflowRecords.js';

import { planFaults } from '../../soak/faultPlan.js';
import { SoakHistory, type CallOutcome } from '../../soak/soakHistory.js';

interface CheckerWorld {
  history: SoakHistory;
}

const MILLIS_PER_CORE = 1000;
const LOAD_MS = 6000;

function parseRun(run: string): { name: string; number: number } {
  const [name = '', number] = run.split(':');
  return { name, number: Number(number) };
}

function createDocument(version: number): string {
  return JSON.stringify({ version });
}

Given('a soak history with endpoints of {int} cores', function create(this: CheckerWorld, cores) {
  this.history = new SoakHistory(cores * MILLIS_PER_CORE);
});

Given(
  'soak job {string} with steps of {int} and {int} tasks of {int} cores is submitted',
  function submit(this: CheckerWorld, id: string, first: number, second: number, cores: number) {
    this.history.recordSubmission({
      id,
      kind: 'batch',
      tasksPerStep: [first, second],
      cpuMillis: cores * MILLIS_PER_CORE,
    });
  },
);

Given('crashing soak job {string} is submitted', function submit(this: CheckerWorld, id: string) {
  const cpuMillis = 2 * MILLIS_PER_CORE;
  this.history.recordSubmission({ id, kind: 'crashing', tasksPerStep: [1], cpuMillis });
});

When(
  'soak endpoint {string} reports a capacity of {int} cores',
  function report(this: CheckerWorld, id: string, cores: number) {
    this.history.recordCapacity(id, cores * MILLIS_PER_CORE);
  },
);

When(
  'the report of {int} cores of soak endpoint {string} is acknowledged',
  function acknowledgeCapacity(this: CheckerWorld, cores: number, id: string) {
    this.history.recordCapacityAcknowledged(id, cores * MILLIS_PER_CORE);
  },
);

When(
  'soak run {string} crashes {int} endpoints in turn',
  function crash(this: CheckerWorld, name: string, count: number) {
    for (let run = 1; run <= count; run += 1) {
      this.history.recordStart(`w${run}`, name, run);
      this.history.recordEnd(`w${run}`, name, run, 'lost');
    }
  },
);

Given(
  'the response to soak job {string} is {string}',
  function respond(this: CheckerWorld, id, outcome) {
    this.history.recordOutcome(id, outcome as CallOutcome);
  },
);

When('soak job {string} is submitted again', function resubmit(this: CheckerWorld, id: string) {
  this.history.recordCall(id);
});

When('soak run {string} starts on {string}', function start(this: CheckerWorld, run: string, id) {
  const { name, number } = parseRun(run);
  this.history.recordStart(id, name, number);
});

When(
  'soak run {string} on {string} ends {string}',
  function end(this: CheckerWorld, run: string, id: string, outcome: string) {
    const { name, number } = parseRun(run);
    this.history.recordStart(id, name, number);
    this.history.recordEnd(id, name, number, outcome as RunOutcome);
  },
);

When(
  'soak run {string} is lost with {string}',
  function lose(this: CheckerWorld, run: string, id: string) {
    const { name, number } = parseRun(run);
    this.history.recordEnd(id, name, number, 'lost');
  },
);

When(
  'the end of soak run {string} is acknowledged',
  function acknowledgeRun(this: CheckerWorld, run) {
    const { name, number } = parseRun(run as string);
    this.history.recordAcknowledgement(name, number);
  },
);

When(
  'the lease of soak endpoint {string} expires',
  function expire(this: CheckerWorld, id: string) {
    this.history.recordLapse(id);
  },
);

When(
  'soak job {string} is reported as {string}',
  function reportState(this: CheckerWorld, id, state) {
    this.history.recordReportedState(id, state);
  },
);

When('soak job {string} is cancelled', function cancel(this: CheckerWorld, id: string) {
  this.history.recordCancellation(id);
});

When(
  'the cancellation of soak job {string} finds no job',
  function cancel(this: CheckerWorld, id: string) {
    this.history.recordCancellation(id, false);
  },
);

When(
  'soak configuration {int} is acknowledged',
  function acknowledgeConfig(this: CheckerWorld, version: number) {
    this.history.recordConfigSent(version, createDocument(version));
    this.history.recordConfigAcknowledged(version);
  },
);

When('soak configuration {int} is read', function read(this: CheckerWorld, version: number) {
  this.history.recordConfigRead(createDocument(version), this.history.requiredVersion);
});

Then('the soak history has no violations', function checkNoViolation(this: CheckerWorld) {
  this.history.checkFinalState();
  assert.deepEqual(this.history.violations, []);
});

Then(
  'the soak history has a violation that starts with {string}',
  function checkViolation(this: CheckerWorld, text: string) {
    this.history.checkFinalState();
    const { violations } = this.history;
    assert.ok(
      violations.some((violation) => violation.startsWith(text)),
      violations.join('; '),
    );
  },
);

Then('the faults of soak seed {int} are the same each time', (seed: number) => {
  assert.deepEqual(planFaults(seed, LOAD_MS), planFaults(seed, LOAD_MS));
  assert.notDeepEqual(planFaults(seed, LOAD_MS), planFaults(seed + 1, LOAD_MS));
});
