import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';

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
