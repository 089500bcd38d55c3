import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';

import type { SimulatedAdvisor } from '../../workflow/simulatedAdvisor.js';
import { createStep, type WorkflowWorld } from '../../workflow/workflowWorld.js';

interface SchedulingSteps {
  world: WorkflowWorld;
  advisor: SimulatedAdvisor;
  /** Monotonic times of the starts of a job, by job. */
  startsMs: Map<string, number[]>;
}

/** Returns the names of the first step of a job, as queries and orders have them. */
const firstStepOf = (job: string): string => `${job}.0.0`;

When(
  'a job {string} of {int} tasks of {int} ms is submitted',
  async function submit(this: SchedulingSteps, id: string, taskCount: number, ms: number) {
    const { driver } = this.world;
    driver.durationsMs.set(id, ms);
    this.startsMs ??= new Map();
    driver.onStarted = (_, { payload }) => {
      this.startsMs.set(payload, [...(this.startsMs.get(payload) ?? []), performance.now()]);
    };
    await this.world.submit(id, [createStep({ taskCount, estimateMs: ms })]);
  },
);

Then('no query was sent for job {string}', function check(this: SchedulingSteps, id: string) {
  assert.deepEqual(
    this.advisor.sent.filter(({ step }) => step === firstStepOf(id)),
    [],
  );
});

Then(
  'a query for job {string} was sent within {int} ms of the first end of job {string}',
  function check(this: SchedulingSteps, id: string, maxMs: number, ended: string) {
    const sent = this.advisor.sent.find(({ step }) => step === firstStepOf(id));
    const durationMs = this.world.driver.durationsMs.get(ended)!;
    const firstEndMs = this.startsMs.get(ended)![0]! + durationMs;
    const waitMs = sent!.atMs - firstEndMs;
    assert.ok(waitMs >= 0 && waitMs <= maxMs, `${waitMs} ms`);
  },
);

Then('job {string} has {int} runs', function check(this: SchedulingSteps, id, count: number) {
  const runs = this.world.driver.started.filter((name) => name.startsWith(`${id}.`));
  assert.equal(runs.length, count);
});

Then('no query named more than {int} endpoints', function check(this: SchedulingSteps, max) {
  const largest = Math.max(...this.advisor.sent.map(({ endpoints }) => endpoints.length));
  assert.ok(largest > 0 && largest <= max, `${largest} endpoints`);
});
