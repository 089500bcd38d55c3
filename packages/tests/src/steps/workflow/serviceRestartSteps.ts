import { Given, When } from '@cucumber/cucumber';

import { createStep, type WorkflowWorld } from '../../workflow/workflowWorld.js';

interface RestartSteps {
  world: WorkflowWorld;
  jobCount?: number;
}

Given(
  'tasks of {string} run until they are stopped',
  function last(this: RestartSteps, id: string) {
    for (const worker of this.world.driver.workers.values()) worker.lastingPayloads.add(id);
  },
);

Given('a queue {string} of priority {int}', function add(this: RestartSteps, name, priority) {
  this.world.addQueue(name, { priority });
});

When(
  '{int} jobs of 1 task of {int} ms are submitted to queue {string} at once',
  async function submit(this: RestartSteps, count: number, ms: number, queue: string) {
    for (const worker of this.world.driver.workers.values()) worker.durationMs = ms;
    const first = this.jobCount ?? 0;
    this.jobCount = first + count;
    const steps = [createStep({ estimateMs: ms })];
    const calls = Array.from({ length: count }, (_, i) => {
      const id = `${queue}-${first + i}`;
      const spec = { payload: id, steps };
      const call = { path: `/${queue}/${id}`, key: 'k', operation: 'submit' as const, spec };
      return this.world.session.jobs.handle({ host: 'h', ...call });
    });
    await this.world.advance(2);
    await Promise.all(calls);
  },
);
