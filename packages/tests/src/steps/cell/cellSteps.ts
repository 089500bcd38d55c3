import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';

import { sendRequests } from '@lagoongap/stand-in/loadGenerator.js';
import { checkHistory } from '../../history/checkers.js';
import { collectHistory, startDemoCell, TIMEOUT } from './cellSupport.js';
import type { CellWorld } from './cellWorld.js';

const LOAD_CONCURRENCY = 40;

After({ ...TIMEOUT, tags: '@processes' }, async function disposeCell(this: CellWorld) {
  this.stopLoad?.();
  await this.load?.catch(() => []);
  await this.cell?.[Symbol.asyncDispose]();
  for (const relay of this.relays?.values() ?? []) await relay[Symbol.asyncDispose]();
  this.cell = undefined;
});

Given(
  'a cell of {int} daemons of which {int} have a disk',
  TIMEOUT,
  async function startCell(this: CellWorld, instances: number, replicas: number) {
    await startDemoCell(this, { instances, replicas });
  },
);

Given(
  '{int} stand-in runners',
  TIMEOUT,
  async function startRunners(this: CellWorld, count: number) {
    const ids = Array.from({ length: count }, (_, i) => `runner-${i + 1}`);
    await Promise.all(
      ids.map((id, i) =>
        this.cell!.startEndpoint({
          id,
          key: this.keys.endpoint.secret,
          works: ['metering'],
          rack: `rack-${(i % 4) + 1}`,
          dataCentre: `dc-${(i % 3) + 1}`,
        }),
      ),
    );
  },
);

When(
  'two teams send {int} requests through all instances, every {int}th not to be repeated',
  function startLoad(this: CellWorld, count: number, noRepeatEvery: number) {
    this.load = sendRequests({
      cell: this.cell!,
      instances: this.cell!.instanceIds,
      keys: [this.keys.laboratories.secret, this.keys.utilities.secret],
      count,
      concurrency: LOAD_CONCURRENCY,
      noRepeatEvery,
      instruction: { sleepMs: 20 },
      markerPrefix: 'load',
      onEnded: (ended) => {
        this.ended = ended;
      },
    });
  },
);

When(
  'the leader is killed after {int} responses',
  TIMEOUT,
  async function killLeader(this: CellWorld, count: number) {
    const leader = await this.cell!.findLeader();
    await this.cell!.waitFor(`${count} responses`, async () => this.ended >= count);
    this.cell!.daemons.get(leader)!.signal('SIGKILL');
    this.unavailable.push(leader);
  },
);

When('all requests have ended', TIMEOUT, async function awaitLoad(this: CellWorld) {
  this.calls = await this.load!;
});

Then(
  'every request through an available instance got a complete response',
  function checkResponses(this: CellWorld) {
    const failed = this.calls.filter(
      (call) =>
        call.outcome !== 'answered' &&
        !(call.outcome === 'connection-lost' && this.unavailable.includes(call.instance)),
    );
    assert.deepEqual(failed.slice(0, 5), []);
  },
);

Then('the history shows no violation', function checkInvariants(this: CellWorld) {
  assert.deepEqual(checkHistory(collectHistory(this)).slice(0, 10), []);
});

When(
  'release note {int} withdraws the key of the utilities',
  TIMEOUT,
  async function withdrawKey(this: CellWorld, number: number) {
    const text = `number = ${number}\n[[withdrawn.keys]]\nid = "utilities-1"\n`;
    const instance = this.cell!.instanceIds.find((id) => !this.unavailable.includes(id))!;
    this.answer = await this.cell!.call(instance, '/v1/notes', {
      method: 'POST',
      body: text,
      key: this.keys.operator.secret,
    });
    this.startedAtMs = performance.now();
    assert.equal(this.answer.status, 200, JSON.stringify(this.answer.body));
  },
);

Then(
  'every available instance refuses that key within {int} s',
  TIMEOUT,
  async function checkRefused(this: CellWorld, seconds: number) {
    const available = this.cell!.instanceIds.filter((id) => !this.unavailable.includes(id));
    await this.cell!.waitFor('the withdrawn key to be refused everywhere', async () => {
      const responses = await Promise.all(
        available.map((id) =>
          this.cell!.call(id, '/v1/jobs/none', { key: this.keys.utilities.secret }),
        ),
      );
      return responses.every((response) => response.status === 401);
    });
    const tookMs = performance.now() - this.startedAtMs;
    assert.ok(tookMs <= seconds * 1000, `the key was refused everywhere after ${tookMs} ms`);
  },
);
