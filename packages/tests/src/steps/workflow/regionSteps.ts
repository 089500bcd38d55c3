import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { RegionLimits } from '@lagoongap/workflow/cellConfig.js';

import { createStep, type WorkflowWorld } from '../../workflow/workflowWorld.js';

interface Steps {
  world: WorkflowWorld;
}

const BOUND_QUEUE = 'bound';

function createLimits(dataCentres: string): RegionLimits {
  return { names: ['r'], dataCentres: new Set(dataCentres.split(' ')) };
}

Given(
  'a queue {string} to the data centres {string}',
  function add(this: Steps, name: string, dataCentres: string) {
    this.world.addQueue(name, { regions: createLimits(dataCentres) });
  },
);

Given('the queue is bound to the data centres {string}', function bind(this: Steps, names: string) {
  this.world.changeQueue({ regions: createLimits(names) });
});

When(
  /^bound (job|service) "(\w+)" of (\d+) tasks is submitted$/,
  async function submit(this: Steps, kind: string, id: string, count: string) {
    const step = createStep({ taskCount: Number(count), isService: kind === 'service' });
    await this.world.submit(id, [step], {}, BOUND_QUEUE);
  },
);

When('{int} bound jobs of 1 task are submitted', async function submit(this: Steps, count: number) {
  for (let i = 0; i < count; i += 1) {
    await this.world.submit(`bound${i}`, [createStep({})], {}, BOUND_QUEUE);
  }
});

Then('bound job {string} has completed', function check(this: Steps, id: string) {
  assert.equal(this.world.job(id).status, 'completed');
});

Then(
  'the log explains a wait for the regions {string} with {int} endpoints in others',
  function check(this: Steps, names: string, count: number) {
    const lines = this.world.logger.find('step is waiting');
    const match = ({ allowedRegions, inOtherRegions }: Record<string, unknown>): boolean =>
      allowedRegions === names && inOtherRegions === count;
    assert.ok(lines.some(({ fields }) => match(fields)));
  },
);
