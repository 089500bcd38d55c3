import assert from 'node:assert/strict';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { After, Given, Then } from '@cucumber/cucumber';
import { PlatformClient, type PlatformResponse } from '@lagoongap/platform/platformClient.js';

interface ClientWorld {
  server?: Server;
  client: PlatformClient;
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
