import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { StartOutcome } from '@lagoongap/workflow/endpointDriver.js';

import { createStep, type WorkflowWorld } from '../../workflow/workflowWorld.js';

interface RejectionSteps {
  world: WorkflowWorld;
}

function setRejection(steps: RejectionSteps, outcome: StartOutcome | undefined): void {
  for (const worker of steps.world.driver.workers.values()) worker.rejection = outcome;
}

Given(
  'all workers reject start orders as {string}',
  function reject(this: RejectionSteps, outcome: StartOutcome) {
    setRejection(this, outcome);
  },
);

Given(
  'worker {word} rejects start orders as {string}',
  function reject(this: RejectionSteps, id: string, outcome: StartOutcome) {
    this.world.driver.worker(id).rejection = outcome;
  },
);

When('all workers accept start orders again', function accept(this: RejectionSteps) {
  setRejection(this, undefined);
});

When(
  'job {string} of 1 task of {int} ms is submitted',
  async function submit(this: RejectionSteps, id: string, ms: number) {
    for (const worker of this.world.driver.workers.values()) worker.durationMs = ms;
    await this.world.submit(id, [createStep({ estimateMs: ms })]);
  },
);

Then(
  'at most {int} start orders were rejected',
  function checkCount(this: RejectionSteps, max: number) {
    const { length } = this.world.driver.rejectedAtMs;
    assert.ok(length > 0 && length <= max, `${length} orders`);
  },
);

Then(
  'an endpoint was inspected after it had rejected an order',
  function check(this: RejectionSteps) {
    const { rejectedAtMs, inspectedAtMs } = this.world.driver;
    assert.ok(rejectedAtMs.length > 0);
    assert.ok(inspectedAtMs.some((atMs) => atMs > rejectedAtMs[0]!));
  },
);
