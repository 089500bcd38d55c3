import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import { createStep, type WorkflowWorld } from '../../workflow/workflowWorld.js';

interface CapacitySteps {
  world: WorkflowWorld;
}

Given('starts are committed late', function holdStarts(this: CapacitySteps) {
  this.world.log.heldType = 'start';
});

When('the late starts are committed', async function commitStarts(this: CapacitySteps) {
  this.world.log.commitHeld();
  await this.world.advance(50);
});

When(
  'worker {word} reports a capacity of {int} cores',
  async function report(this: CapacitySteps, id: string, cores: number) {
    this.world.setCores(id, cores);
    await this.world.sendHeartbeats();
  },
);

When(
  'an earlier heartbeat of worker {word} with {int} cores arrives at the new leader',
  async function deliverLate(this: CapacitySteps, id: string, cores: number) {
    await this.world.changeLeader(0, { isHeartbeatLost: true });
    const { capacity } = this.world.records.get(id)!;
    await this.world.deliverLateHeartbeat(id, {
      capacity: { ...capacity, cpuMillis: cores * 1000 },
    });
  },
);

When(
  'job {string} of {int} tasks of {int} cores is submitted',
  async function submitSized(this: CapacitySteps, id: string, taskCount: number, cores: number) {
    await this.world.submit(id, [createStep({ taskCount, cores })]);
  },
);

When(
  'best-effort job {string} of {int} tasks is submitted',
  async function submitBestEffort(this: CapacitySteps, id: string, taskCount: number) {
    await this.world.submit(id, [createStep({ taskCount, fillsIdleCapacity: true })]);
  },
);

Then('no start exceeded the capacity of a worker', function checkExcess(this: CapacitySteps) {
  const excess = [...this.world.driver.workers].map(([id, { maxExcess }]) => [id, maxExcess]);
  assert.deepEqual(
    excess,
    excess.map(([id]) => [id, 0]),
  );
});
