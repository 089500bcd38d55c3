import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import { subtractResources, type Resources } from '@lagoongap/model/resources.js';
import { RunLedger } from '@lagoongap/workflow/runLedger.js';
import { countSlots } from '@lagoongap/workflow/endpointSlots.js';

import { createReadyStep, createStep, type WorkflowWorld } from '../../workflow/workflowWorld.js';

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

Then(
  /^an endpoint with (-?\d+) cores, (-?\d+) MiB and (-?\d+) accelerators free has (\d+) slots for (\d+) (plain|best-effort) tasks$/,
  (cores: string, memory: string, gpus: string, slots: string, count: string, kind: string) => {
    const fillsIdleCapacity = kind === 'best-effort';
    const ready = createReadyStep(createStep({ taskCount: Number(count), fillsIdleCapacity }));
    const capacity = { cpuMillis: 1000, memoryMib: 1000, accelerators: 1, slots: 0 };
    const free: Resources = {
      cpuMillis: Number(cores) * 1000,
      memoryMib: Number(memory),
      accelerators: Number(gpus),
      slots: 0,
    };
    const usage = {
      used: subtractResources(capacity, free),
      bestEffortCpuMillis: 0,
      runs: new Map(),
    };
    const candidate = {
      id: 'w1',
      kind: 'a',
      rack: 'r1',
      labels: [],
      capacity,
      durationFactor: 1,
      isLatencySensitive: false,
      usage,
    };
    assert.equal(countSlots(ready, candidate, new RunLedger()), Number(slots));
  },
);
