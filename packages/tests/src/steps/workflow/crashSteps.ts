import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import { CrashingFleet } from '../../workflow/crashingFleet.js';
import type { WorkflowWorld } from '../../workflow/workflowWorld.js';

interface CrashSteps {
  world: WorkflowWorld;
  fleet: CrashingFleet;
}

const TIMEOUT = { timeout: 30_000 };

Given(
  /^workers that crash are back after (\d+) ms under (the same|another) id$/,
  function describe(this: CrashSteps, returnMs: string, id: string) {
    this.fleet = new CrashingFleet(this.world);
    this.fleet.opts.returnMs = Number(returnMs);
    this.fleet.opts.keepsId = id === 'the same';
  },
);

Given(
  'task {string} crashes each worker that starts it',
  function addTask(this: CrashSteps, task: string) {
    this.fleet.addDeadlyTask(task);
  },
);

Given(
  'task {string} crashes each worker that starts it after {int} ms',
  function addTask(this: CrashSteps, task: string, delayMs: number) {
    this.fleet.addDeadlyTask(task, delayMs);
  },
);

When('worker {word} crashes', function crash(this: CrashSteps, id: string) {
  this.fleet.crash(id);
});

When('worker {word} leaves and comes back', function leave(this: CrashSteps, id: string) {
  this.world.session.endpoints.leave(id);
  this.fleet.crash(id);
});

When(
  'an instance is taken down for maintenance',
  TIMEOUT,
  async function maintain(this: CrashSteps) {
    const [record] = this.world.records.values();
    const wave = { number: 1, instances: [record!.instance], withinMs: 20_000, maxDown: 1 };
    await this.world.log.propose({ type: 'open-wave', ...wave });
    await this.world.advance(1000);
  },
);

Then(
  '{int} crashes are counted, with {int} runs',
  function check(this: CrashSteps, crashes: number, runs: number) {
    const { crashedRuns } = this.world;
    assert.equal(crashedRuns.length, crashes);
    assert.equal(
      crashedRuns.reduce((sum, count) => sum + count, 0),
      runs,
    );
  },
);

Then(
  'the crash of {word} is logged with run {string}',
  function check(this: CrashSteps, endpoint: string, run: string) {
    const lines = this.world.warnings.filter(([message]) => message === 'endpoint crashed');
    const line = lines.find(([, fields]) => fields?.endpoint === endpoint);
    assert.ok(line, JSON.stringify(this.world.warnings));
    assert.match(String(line[1]?.runs), new RegExp(`${run} after \\d+ ms`));
  },
);
