import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import {
  listAvailable,
  fetchJob,
  fetchAsOperator,
  settleWithin,
  submitJob,
  TIMEOUT,
} from './cellSupport.js';
import type { CellWorld } from './cellWorld.js';
import { startContinuousLoad } from './continuousLoad.js';

const SUBMIT_CONCURRENCY = 100;
/** Fills a whole stand-in worker, so that all other jobs wait. */
const FULL_WORKER_SIZE = { cpuMillis: 32_000, memoryMib: 1024 };

async function submitMany(world: CellWorld, count: number, spec: object): Promise<void> {
  let left = count;
  const submit = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const instance = world.cell!.instanceIds[left % world.cell!.instanceIds.length];
      world.jobs.push(await submitJob(world, spec, instance));
    }
  };
  await Promise.all(Array.from({ length: Math.min(SUBMIT_CONCURRENCY, count) }, submit));
}

Given('{int} stand-in workers', TIMEOUT, async function startWorkers(this: CellWorld, count) {
  const ids = Array.from({ length: count }, (_, i) => `worker-${i + 1}`);
  await Promise.all(
    ids.map((id) =>
      this.cell!.startEndpoint({
        id,
        key: this.keys.endpoint.secret,
        kind: 'worker',
        works: ['metering'],
      }),
    ),
  );
});

Given(
  '{int} accepted jobs that keep running',
  TIMEOUT,
  async function submitLongJobs(this: CellWorld, count) {
    await submitMany(this, count, { payload: {} });
  },
);

Given(
  '{int} accepted jobs of which one runs',
  TIMEOUT,
  async function submitWaitingJobs(this: CellWorld, count) {
    await submitMany(this, count, { payload: {}, size: FULL_WORKER_SIZE });
  },
);

Then(
  'all accepted jobs and notes are readable within {int} s',
  TIMEOUT,
  async function checkReadable(this: CellWorld, seconds: number) {
    const { number } = this.notes.at(-1)!;
    const check = async (): Promise<boolean> => {
      const jobs = await Promise.all(this.jobs.map((id) => settleWithin(fetchJob(this, id))));
      const config = await settleWithin(fetchAsOperator(this, '/v1/config'));
      const teams = Object.keys(config.teams).filter((name) => name.startsWith('team-'));
      return (
        jobs.every(({ status, body }) => status === 200 && /waiting|running/.test(body.state)) &&
        config.number === number &&
        teams.length === this.notes.length
      );
    };
    await this.cell!.waitFor('all accepted jobs and notes', check, seconds * 1000);
  },
);

When('the laboratories send requests until stopped', async function startLoad(this: CellWorld) {
  await startContinuousLoad(this, {
    instances: listAvailable(this),
    keys: [this.keys.laboratories.secret],
    concurrency: 8,
    noRepeatEvery: 2,
    instruction: { sleepMs: 10 },
    markerPrefix: 'open',
    initialResponses: 20,
  });
});

When('the load is stopped', TIMEOUT, async function stopLoad(this: CellWorld) {
  this.stopLoad!();
  this.calls = await this.load!;
});

When(
  'all accepted jobs are cancelled in one call',
  TIMEOUT,
  async function cancel(this: CellWorld) {
    this.startedAtMs = performance.now();
    const response = await this.cell!.call(listAvailable(this)[0]!, '/v1/jobs/cancel', {
      method: 'POST',
      key: this.keys.utilities.secret,
      body: { ids: this.jobs },
    });
    assert.equal(response.status, 200, JSON.stringify(response.body));
    assert.equal(response.body.jobs.length, this.jobs.length);
  },
);

Then(
  'all accepted jobs are cancelled within {int} s',
  TIMEOUT,
  async function checkCancelled(this: CellWorld, seconds: number) {
    await this.cell!.waitFor('no job of the queue to wait or run', async () => {
      const { waiting, waitingByQueue } = await fetchAsOperator(this, '/v1/status');
      return waiting === 0 || !waitingByQueue.recomputation;
    });
    await this.cell!.waitFor('the cancelled state of every job', async () => {
      const response = await this.cell!.call(listAvailable(this)[0]!, '/v1/jobs/cancel', {
        method: 'POST',
        key: this.keys.utilities.secret,
        body: { ids: this.jobs },
      });
      return response.body.jobs.every(({ state }: { state: string }) => state === 'cancelled');
    });
    const tookMs = performance.now() - this.startedAtMs;
    assert.ok(tookMs <= seconds * 1000, `all jobs were cancelled after ${tookMs} ms`);
  },
);

Then('no request took longer than {int} ms', function checkDurations(this: CellWorld, boundMs) {
  const durationsMs = this.calls.map(({ startedAtMs, endedAtMs }) => endedAtMs - startedAtMs);
  const longestMs = Math.max(...durationsMs);
  assert.ok(
    longestMs <= boundMs,
    `the longest of ${durationsMs.length} requests took ${longestMs} ms`,
  );
});
