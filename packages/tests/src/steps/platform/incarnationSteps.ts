import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import { HttpEndpointDriver } from '@lagoongap/platform/httpEndpointDriver.js';
import { PlatformClient } from '@lagoongap/platform/platformClient.js';
import type { EndpointTarget, InspectOrder } from '@lagoongap/workflow/endpointDriver.js';

import { RestartingEndpoint } from '../../platform/restartingEndpoint.js';

interface IncarnationWorld {
  endpoint?: RestartingEndpoint;
  driver: HttpEndpointDriver;
  outcome: string;
}

const INSPECTIONS: Record<string, Partial<InspectOrder>> = {
  'an inspection that acknowledges reports': { ackedReport: 5 },
  'an inspection that renews the lease': { untilMs: 9000 },
};
const MAX_CONNECTIONS = 4;
const SEND_DELAY_MS = 50;

function targetOf({ endpoint }: IncarnationWorld): EndpointTarget {
  return { id: 'e', address: endpoint!.address, bornMs: 1 };
}

async function send(world: IncarnationWorld, order: string): Promise<string> {
  const target = targetOf(world);
  if (order === 'a start') {
    const start = { task: 't', run: 1, payload: '', untilMs: 9000, fencingToken: 1 };
    return (await world.driver.start(target, start))?.outcome ?? 'no response';
  }
  const inspection = { fencingToken: 1, ackedReport: 0, waitMs: 0, ...INSPECTIONS[order] };
  const result = await world.driver.inspect(target, inspection);
  return 'failure' in result ? result.failure : `response of ${result.answer.bornMs}`;
}

After(async function close(this: IncarnationWorld) {
  if (!this.endpoint) return;
  await this.driver[Symbol.asyncDispose]();
  await this.endpoint[Symbol.asyncDispose]();
});

Given(
  'an endpoint that has responded to the leader',
  async function create(this: IncarnationWorld) {
    this.endpoint = new RestartingEndpoint();
    await this.endpoint.start();
    this.driver = new HttpEndpointDriver(new PlatformClient(), SILENT_LOG);
    assert.equal(await send(this, 'an inspection'), 'response of 1');
  },
);

When(
  /^the leader sends (a start|an inspection that acknowledges reports|an inspection that renews the lease)$/,
  async function sendOrder(this: IncarnationWorld, order: string) {
    this.outcome = await send(this, order);
  },
);

When(
  'the leader sends {int} starts at once',
  async function sendAll(this: IncarnationWorld, count) {
    const starts = Array.from({ length: count as number }, () => send(this, 'a start'));
    this.outcome = [...new Set(await Promise.all(starts))].join();
  },
);

When('the endpoint restarts', function restart(this: IncarnationWorld) {
  this.endpoint!.restart();
});

When(
  /^the endpoint restarts while (.+) waits for a connection$/,
  async function restart(this: IncarnationWorld, order: string) {
    this.endpoint!.isSilent = true;
    const calls = Array.from({ length: MAX_CONNECTIONS }, () => send(this, 'an inspection'));
    await delay(SEND_DELAY_MS);
    const waiting = send(this, order);
    await delay(SEND_DELAY_MS);
    this.endpoint!.restart();
    await Promise.all(calls);
    this.outcome = await waiting;
  },
);

Then('the order has the outcome {string}', function check(this: IncarnationWorld, outcome: string) {
  assert.equal(this.outcome, outcome);
});

Then(
  'the next incarnation has received inspections without numbers only',
  function check(this: IncarnationWorld) {
    const received = this.endpoint!.received.filter(({ bornMs }) => bornMs > 1);
    assert.ok(received.length > 0);
    for (const { path, body } of received) {
      assert.deepEqual([path, body.ack_seq, body.until_ms], ['/-/hold', 0, undefined]);
    }
  },
);

When(
  'the leader sends {int} inspections that acknowledge reports',
  async function sendAll(this: IncarnationWorld, count: number) {
    for (let i = 0; i < count; i += 1) await send(this, 'an inspection that acknowledges reports');
  },
);

Then(
  'the endpoint has received at most {int} inspections without numbers',
  function check(this: IncarnationWorld, max: number) {
    const orders = this.endpoint!.received.filter(({ path }) => path === '/-/hold');
    const count = orders.filter(({ body }) => !body.ack_seq && body.until_ms === undefined).length;
    assert.ok(count <= max, `${count} inspections`);
  },
);
