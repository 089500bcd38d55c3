import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';

import { sendRequests } from '@lagoongap/stand-in/loadGenerator.js';
import { checkHistory } from '../../history/checkers.js';
import { collectHistory, openCell, TIMEOUT } from './cellSupport.js';
import type { CellWorld } from './cellWorld.js';

const CONCURRENCY = 40;

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
    await openCell(this, { instances, replicas });
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
      concurrency: CONCURRENCY,
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
  'the leader is killed after {int} answers',
  TIMEOUT,
  async function killLeader(this: CellWorld, count: number) {
    const leader = await this.cell!.findLeader();
    await this.cell!.waitFor(`${count} answers`, async () => this.ended >= count);
    this.cell!.daemons.get(leader)!.signal('SIGKILL');
    this.killed.push(leader);
  },
);

When('all requests have ended', TIMEOUT, async function awaitLoad(this: CellWorld) {
  this.calls = await this.load!;
});

Then(
  'every request through a living instance was answered whole',
  function checkAnswered(this: CellWorld) {
    const bad = this.calls.filter(
      (call) =>
        call.outcome !== 'answered' &&
        !(call.outcome === 'connection-lost' && this.killed.includes(call.instance)),
    );
    assert.deepEqual(bad.slice(0, 5), []);
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
    const living = this.cell!.instanceIds.find((id) => !this.killed.includes(id))!;
    this.answer = await this.cell!.call(living, '/v1/notes', {
      method: 'POST',
      body: text,
      key: this.keys.operator.secret,
    });
    this.startedAtMs = performance.now();
    assert.equal(this.answer.status, 200, JSON.stringify(this.answer.body));
  },
);

Then(
  'every living instance refuses that key within {int} s',
  TIMEOUT,
  async function checkRefused(this: CellWorld, seconds: number) {
    const living = this.cell!.instanceIds.filter((id) => !this.killed.includes(id));
    await this.cell!.waitFor('the withdrawn key to be refused everywhere', async () => {
      const answers = await Promise.all(
        living.map((id) =>
          this.cell!.call(id, '/v1/jobs/none', { key: this.keys.utilities.secret }),
        ),
      );
      return answers.every((answer) => answer.status === 401);
    });
    const tookMs = performance.now() - this.startedAtMs;
    assert.ok(tookMs <= seconds * 1000, `the key was refused everywhere after ${tookMs} ms`);
  },
);
