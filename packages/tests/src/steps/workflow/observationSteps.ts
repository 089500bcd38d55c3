import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import type { WorkflowWorld } from '../../workflow/workflowWorld.js';

interface ObservationSteps {
  world: WorkflowWorld;
}

Then('the leader exports {string}', async function check(this: ObservationSteps, line: string) {
  const lines = (await this.world.meter.registry.metrics()).split('\n');
  assert.ok(lines.includes(line), lines.filter((it) => !it.startsWith('#')).join('\n'));
});

Then(
  'the leader logs {string} with the fields {string}',
  function checkFields(this: ObservationSteps, message: string, names: string) {
    const [line] = this.world.logger.find(message);
    assert.ok(line, this.world.logger.lines.map((it) => it.message).join('\n'));
    for (const name of names.split(', ')) assert.notEqual(line.fields[name], undefined, name);
  },
);

Then(
  'the leader logs {string} between {int} and {int} times',
  function count(this: ObservationSteps, message: string, min: number, max: number) {
    const { length } = this.world.logger.find(message);
    assert.ok(length >= min && length <= max, `${length} lines`);
  },
);

Then('no run is lost', function checkLost(this: ObservationSteps) {
  assert.deepEqual(this.world.logger.find('runs are lost'), []);
});

When(
  'the workflow leader regains its majority and cancels job {string} at once',
  async function cancel(this: ObservationSteps, id: string) {
    this.world.log.hasLostMajority = false;
    await this.world.call({ operation: 'cancel' }, id);
  },
);

Given('starts take {int} ms to commit', function delay(this: ObservationSteps, ms: number) {
  this.world.log.startCommitMs = ms;
});

When(
  'the process is suspended for {int} ms directly after each check of validity',
  function suspend(this: ObservationSteps, ms: number) {
    this.world.suspendAfterChecks(ms);
  },
);

Then(
  'no lease ended later than {int} ms after the check of validity',
  function checkLeases(this: ObservationSteps, ms: number) {
    const { longestLeaseMs } = this.world.driver;
    assert.ok(longestLeaseMs > 0 && longestLeaseMs <= ms, `${longestLeaseMs} ms`);
  },
);

When('the instance is elected again in a later term', function elect(this: ObservationSteps) {
  this.world.log.term += 1;
  this.world.log.hasLostMajority = false;
});

Then('no worker has started run {string}', function check(this: ObservationSteps, key: string) {
  assert.ok(!this.world.driver.started.includes(key), this.world.driver.started.join());
});

Then('worker {word} has started no first run', function check(this: ObservationSteps, id: string) {
  const first = this.world.driver.worker(id).started.filter((run) => run.endsWith(':1'));
  assert.deepEqual(first, []);
});
