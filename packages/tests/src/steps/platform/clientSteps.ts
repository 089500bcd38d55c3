import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import { HttpEndpointDriver } from '@lagoongap/platform/httpEndpointDriver.js';
import { HttpInstanceApi } from '@lagoongap/platform/httpInstanceApi.js';
import { PlatformClient, type PlatformResponse } from '@lagoongap/platform/platformClient.js';

interface ClientWorld {
  server?: Server;
  client: PlatformClient;
  /** Address at which nothing listens. */
  stoppedAddress: string;
  acceptedConnections: number;
  receivedRequests: number;
  maintenanceOutcome?: string;
  outcomes: PromiseSettledResult<PlatformResponse>[];
}

async function listen(world: ClientWorld, listener: RequestListener): Promise<void> {
  world.client = new PlatformClient();
  world.acceptedConnections = 0;
  world.receivedRequests = 0;
  const server = createServer(listener);
  server.on('connection', () => {
    world.acceptedConnections += 1;
  });
  server.on('request', () => {
    world.receivedRequests += 1;
  });
  world.server = server;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
}

function call({ server, client }: ClientWorld, timeoutMs: number): Promise<PlatformResponse> {
  const { port } = server!.address() as AddressInfo;
  return client.call({ method: 'GET', address: `127.0.0.1:${port}`, path: '/', timeoutMs });
}

async function callAtOnce(world: ClientWorld, count: number, timeoutMs: number): Promise<void> {
  const calls = Array.from({ length: count }, () => call(world, timeoutMs));
  world.outcomes = await Promise.allSettled(calls);
}

/** Counts the calls with each response status or error message. */
function countOutcomes({ outcomes }: ClientWorld): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const it of outcomes) {
    const key = it.status === 'fulfilled' ? it.value.status : (it.reason as Error).message;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}

After(async function close(this: ClientWorld) {
  if (!this.server) return;
  await this.client[Symbol.asyncDispose]();
  this.server.closeAllConnections();
  this.server.close();
});

Given(
  'a server that responds and then blocks the process for {int} ms',
  async function serveAndBlock(this: ClientWorld, ms: number) {
    await listen(this, (_, res) => {
      res.end('{}');
      const endMs = performance.now() + ms;
      while (performance.now() < endMs);
    });
  },
);

Given('a server that never responds', async function serveNothing(this: ClientWorld) {
  await listen(this, () => undefined);
});

Given(
  'a server that responds after {int} ms',
  async function serveSlowly(this: ClientWorld, ms: number) {
    await listen(this, (_, res) => {
      setTimeout(() => res.end('{}'), ms);
    });
  },
);

When(
  '{int} call(s) to it are sent at once with a timeout of {int} ms',
  async function sendCalls(this: ClientWorld, count: number, timeoutMs: number) {
    await callAtOnce(this, count, timeoutMs);
  },
);

Then(
  '{int} call(s) to it at once with a timeout of {int} ms get(s) status {int}',
  async function checkCalls(this: ClientWorld, count: number, timeoutMs: number, status: number) {
    await callAtOnce(this, count, timeoutMs);
    assert.deepEqual(countOutcomes(this), { [status]: count });
  },
);

Then(
  '{int} call(s) get(s) status {int}',
  function checkStatusCount(this: ClientWorld, count: number, status: number) {
    assert.equal(countOutcomes(this)[status], count);
  },
);

Then(
  '{int} call(s) fail(s) with {string}',
  function checkFailureCount(this: ClientWorld, count: number, message: string) {
    assert.equal(countOutcomes(this)[message], count);
  },
);

Then(
  'the server has accepted {int} connections and received {int} requests',
  function checkTraffic(this: ClientWorld, connections: number, requests: number) {
    const { acceptedConnections, receivedRequests } = this;
    assert.deepEqual(
      { acceptedConnections, receivedRequests },
      {
        acceptedConnections: connections,
        receivedRequests: requests,
      },
    );
  },
);

Then(
  'a call to it with a timeout of {int} ms gets status {int}',
  async function checkStatus(this: ClientWorld, timeoutMs: number, status: number) {
    assert.equal((await call(this, timeoutMs)).status, status);
  },
);

Then(
  'a call to it with a timeout of {int} ms fails with {string}',
  async function checkFailure(this: ClientWorld, timeoutMs: number, message: string) {
    await assert.rejects(call(this, timeoutMs), { message });
  },
);

Given('a server that has stopped', async function stop(this: ClientWorld) {
  await listen(this, () => undefined);
  const { port } = this.server!.address() as AddressInfo;
  this.stoppedAddress = `127.0.0.1:${port}`;
  this.server!.close();
  await once(this.server!, 'close');
});

When(
  '{int} calls to it with a timeout of {int} ms are in progress',
  async function begin(this: ClientWorld, count: number, timeoutMs: number) {
    for (let i = 0; i < count; i += 1) call(this, timeoutMs).catch(() => undefined);
    await delay(50);
  },
);

When(
  'a maintenance request waits for a connection until the leadership has ended',
  async function order(this: ClientWorld) {
    const { port } = this.server!.address() as AddressInfo;
    const api = new HttpInstanceApi(this.client, `127.0.0.1:${port}`, SILENT_LOG);
    const calls = callAtOnce(this, 4, 2000);
    let isAllowed = true;
    const request = { instance: 'm', wave: 1, holder: 'a', fencingToken: 1 };
    const outcome = api.beginMaintenance({ ...request, isAllowed: () => isAllowed });
    isAllowed = false;
    this.maintenanceOutcome = await outcome;
    await calls;
  },
);

Then('the maintenance request has the outcome {string}', function check(this: ClientWorld, it) {
  assert.equal(this.maintenanceOutcome, it);
});

Then(
  'a start order to it has the outcome {string}',
  async function check(this: ClientWorld, outcome) {
    const driver = new HttpEndpointDriver(this.client, SILENT_LOG);
    const target = { id: 'e', address: this.stoppedAddress, bornMs: 1 };
    const order = { task: 't', run: 1, payload: '', untilMs: 1, fencingToken: 1 };
    assert.equal((await driver.start(target, order))?.outcome, outcome);
  },
);

Then('an inspection of it fails as {string}', async function check(this: ClientWorld, failure) {
  const driver = new HttpEndpointDriver(this.client, SILENT_LOG);
  const { port } = (this.server?.address() ?? {}) as Partial<AddressInfo>;
  const address = port ? `127.0.0.1:${port}` : this.stoppedAddress;
  const target = { id: 'e', address, bornMs: 1 };
  const result = await driver.inspect(target, { fencingToken: 1, ackedReport: 0, waitMs: 0 });
  assert.deepEqual(result, { failure });
});
