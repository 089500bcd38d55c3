import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import { HttpEndpointDriver } from '@lagoongap/platform/httpEndpointDriver.js';
import { PlatformClient, type PlatformResponse } from '@lagoongap/platform/platformClient.js';

interface ClientWorld {
  server?: Server;
  client: PlatformClient;
  /** Address at which nothing listens. */
  stoppedAddress: string;
}

async function listen(world: ClientWorld, listener: RequestListener): Promise<void> {
  world.client = new PlatformClient();
  const server = createServer(listener);
  world.server = server;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
}

function call({ server, client }: ClientWorld, timeoutMs: number): Promise<PlatformResponse> {
  const { port } = server!.address() as AddressInfo;
  return client.call({ method: 'GET', address: `127.0.0.1:${port}`, path: '/', timeoutMs });
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

Given(
  'a server that responds after {int} ms',
  async function serveLate(this: ClientWorld, ms: number) {
    await listen(this, (_, res) => {
      setTimeout(() => res.end('{}'), ms);
    });
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

Then(
  '{int} calls to it at once with a timeout of {int} ms get status {int}',
  async function checkAll(this: ClientWorld, count: number, timeoutMs: number, status: number) {
    const calls = Array.from({ length: count }, () => call(this, timeoutMs));
    for (const response of await Promise.all(calls)) assert.equal(response.status, status);
  },
);

Then(
  'a start order to it has the outcome {string}',
  async function check(this: ClientWorld, outcome) {
    const driver = new HttpEndpointDriver(this.client, SILENT_LOG);
    const target = { id: 'e', address: this.stoppedAddress };
    const order = { task: 't', run: 1, payload: '', untilMs: 1, fencingToken: 1 };
    assert.equal((await driver.start(target, order))?.outcome, outcome);
  },
);
