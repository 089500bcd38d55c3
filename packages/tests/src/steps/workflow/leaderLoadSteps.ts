import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import { createStep, type WorkflowWorld } from '../../workflow/workflowWorld.js';

interface LoadSteps {
  world: WorkflowWorld;
  loadMs: number;
}

/** Capacity of the workers, in tasks of one core. */
const SLOTS = 16;

/** Duration of a task on a worker in milliseconds. */
const TASK_MS = 500;

/** Interval of jobs of one task with which twice the capacity is needed, in milliseconds. */
const JOB_INTERVAL_MS = TASK_MS / (2 * SLOTS);

Given('scheduling cycles that take {int} ms', function slowDown(this: LoadSteps, ms: number) {
  this.world.slowDownCycles(ms);
});

When(
  'jobs that need twice the capacity are submitted for {int} ms',
  async function submitJobs(this: LoadSteps, durationMs: number) {
    const startMs = performance.now();
    const count = durationMs / JOB_INTERVAL_MS;
    for (let i = 0; i < count; i += 1) {
      setTimeout(() => {
        const spec = { payload: 'p', steps: [createStep({})] };
        const call = { host: 'h', path: `/q/load-${i}`, key: 'k', operation: 'submit' as const };
        this.world.session.jobs.handle({ ...call, spec }).catch(() => undefined);
      }, i * JOB_INTERVAL_MS);
    }
    await this.world.advance(durationMs);
    this.loadMs = performance.now() - startMs;
  },
);

Then(
  'scheduling cycles have taken at most {int} % of the time',
  function checkCycles(this: LoadSteps, percent: number) {
    const share = (100 * this.world.cycleTimeMs) / this.loadMs;
    assert.ok(share <= percent, `scheduling cycles took ${share.toFixed(0)} % of the time`);
  },
);

Then(
  'at least {int} % of the capacity has been used',
  function checkUse(this: LoadSteps, percent: number) {
    const capacity = (SLOTS * this.loadMs) / TASK_MS;
    const used = (100 * this.world.driver.started.length) / capacity;
    assert.ok(used >= percent, `${used.toFixed(0)} % of the capacity was used`);
  },
);
