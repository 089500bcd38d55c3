import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import {
  listLiving,
  lookUpJob,
  readAsOperator,
  settleWithin,
  submitJob,
  TIMEOUT,
} from './cellSupport.js';
import type { CellWorld } from './cellWorld.js';
import { startOpenLoad } from './openLoad.js';

const SUBMITTERS = 100;
/** Takes a whole stand-in worker, so that all other jobs wait. */
const WHOLE_WORKER = { cpuMillis: 32_000, memoryMib: 1024 };

async function submitMany(world: CellWorld, count: number, spec: object): Promise<void> {
  let left = count;
  const submit = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const instance = world.cell!.instanceIds[left % world.cell!.instanceIds.length];
      world.jobs.push(await submitJob(world, spec, instance));
    }
  };
  await Promise.all(Array.from({ length: Math.min(SUBMITTERS, count) }, submit));
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

Given('{int} accepted jobs that run on', TIMEOUT, async function runOn(this: CellWorld, count) {
  await submitMany(this, count, { payload: {} });
});

Given(
  '{int} accepted jobs of which one runs',
  TIMEOUT,
  async function fill(this: CellWorld, count) {
    await submitMany(this, count, { payload: {}, size: WHOLE_WORKER });
  },
);

Then(
  'all accepted jobs and notes are there within {int} s',
  TIMEOUT,
  async function checkKept(this: CellWorld, seconds: number) {
    const { number } = this.notes.at(-1)!;
    const check = async (): Promise<boolean> => {
      const jobs = await Promise.all(this.jobs.map((id) => settleWithin(lookUpJob(this, id))));
      const config = await settleWithin(readAsOperator(this, '/v1/config'));
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

When(
  'the laboratories send requests until told to stop',
  async function startLoad(this: CellWorld) {
    await startOpenLoad(this, {
      instances: listLiving(this),
      keys: [this.keys.laboratories.secret],
      concurrency: 8,
      noRepeatEvery: 2,
      instruction: { sleepMs: 10 },
      markerPrefix: 'open',
      firstAnswers: 20,
    });
  },
);

When('the load is told to stop', TIMEOUT, async function stopLoad(this: CellWorld) {
  this.stopLoad!();
  this.calls = await this.load!;
});

When(
  'all accepted jobs are cancelled in one call',
  TIMEOUT,
  async function cancel(this: CellWorld) {
    this.startedAtMs = performance.now();
    const answer = await this.cell!.call(listLiving(this)[0]!, '/v1/jobs/cancel', {
      method: 'POST',
      key: this.keys.utilities.secret,
      body: { ids: this.jobs },
    });
    assert.equal(answer.status, 200, JSON.stringify(answer.body));
    assert.equal(answer.body.jobs.length, this.jobs.length);
  },
);

Then(
  'all accepted jobs are cancelled within {int} s',
  TIMEOUT,
  async function checkCancelled(this: CellWorld, seconds: number) {
    await this.cell!.waitFor('no job of the queue to wait or run', async () => {
      const { waiting, waitingByQueue } = await readAsOperator(this, '/v1/status');
      return waiting === 0 || !waitingByQueue.recomputation;
    });
    await this.cell!.waitFor('the cancelled state of every job', async () => {
      const answer = await this.cell!.call(listLiving(this)[0]!, '/v1/jobs/cancel', {
        method: 'POST',
        key: this.keys.utilities.secret,
        body: { ids: this.jobs },
      });
      return answer.body.jobs.every(({ state }: { state: string }) => state === 'cancelled');
    });
    const tookMs = performance.now() - this.startedAtMs;
    assert.ok(tookMs <= seconds * 1000, `all jobs were cancelled after ${tookMs} ms`);
  },
);

Then('no request waited longer than {int} ms', function checkWaiting(this: CellWorld, boundMs) {
  const waits = this.calls.map(({ startedAtMs, endedAtMs }) => endedAtMs - startedAtMs);
  const longest = Math.max(...waits);
  assert.ok(longest <= boundMs, `the longest of ${waits.length} requests took ${longest} ms`);
});
