import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { readJson } from '@lagoongap/gateway/bodyReader.js';
import { GatewayServer } from '@lagoongap/gateway/gatewayServer.js';
import { sendJson } from '@lagoongap/gateway/httpResponse.js';
import { HttpRouter, type RoutedCall } from '@lagoongap/gateway/httpRouter.js';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import { HttpService } from '@lagoongap/platform/httpService.js';
import { request } from 'undici';

import { findFreePort } from '../../harness/findFreePort.js';

interface Steps {
  httpListener?: AsyncDisposable;
  listenerPort: number;
  handled: number;
  clientSocket?: Socket;
  clientStatus?: number;
}

const HOST = '127.0.0.1';
const MAX_BODY_BYTES = 1_000_000;

/** Time in which a listener would have handled what it has received. */
const SETTLE_MS = 50;

function createBody(size: string): string {
  const bytes = size === 'no body' ? 0 : Number.parseInt(size, 10);
  return bytes === 0 ? '' : JSON.stringify('x'.repeat(bytes - 2));
}

async function startPlatformListener(steps: Steps): Promise<void> {
  const service = new HttpService({
    address: `${HOST}:${steps.listenerPort}`,
    maxBodyBytes: MAX_BODY_BYTES,
    handle: () => {
      steps.handled += 1;
      return { status: 200 };
    },
    dropsAbandoned: () => true,
    log: SILENT_LOG,
  });
  await service.listen();
  steps.httpListener = service;
}

async function startProductListener(steps: Steps): Promise<void> {
  const router = new HttpRouter();
  const handle = async ({ req, res }: RoutedCall): Promise<void> => {
    steps.handled += 1;
    if (req.method === 'POST') await readJson(req);
    sendJson(res, 200, {});
  };
  router.add('POST', '/jobs/a', handle, { dropsAbandoned: true });
  router.add('DELETE', '/jobs/a', handle, { dropsAbandoned: true });
  const server = new GatewayServer({
    host: HOST,
    port: steps.listenerPort,
    router,
    log: SILENT_LOG,
  });
  await server.listen();
  steps.httpListener = server;
}

After(async function stopListener(this: Steps) {
  this.clientSocket?.destroy();
  await this.httpListener?.[Symbol.asyncDispose]();
});

Given(
  /^an HTTP listener of the (platform|product)$/,
  async function listen(this: Steps, owner: string) {
    this.handled = 0;
    this.listenerPort = await findFreePort();
    if (owner === 'platform') await startPlatformListener(this);
    else await startProductListener(this);
  },
);

When(
  /^a client sends (\w+) with (no body|\d+ bytes) and (closes|resets) its connection$/,
  async function sendAndLeave(this: Steps, method: string, size: string, leaves: string) {
    const body = createBody(size);
    const socket = connect(this.listenerPort, HOST);
    this.clientSocket = socket;
    await once(socket, 'connect');
    const head = `${method} /jobs/a HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n`;
    // The event loop does not run between the request and the close, so that the listener reads
    // both at once, as after a suspension.
    socket.write(head + body);
    if (leaves === 'closes') socket.end();
    else socket.resetAndDestroy();
    await new Promise((resolve) => {
      setTimeout(resolve, SETTLE_MS);
    });
  },
);

When(
  /^another client sends (\w+) with (no body|\d+ bytes) and waits$/,
  async function sendAndWait(this: Steps, method: 'POST' | 'PUT' | 'DELETE', size: string) {
    const url = `http://${HOST}:${this.listenerPort}/jobs/a`;
    const body = createBody(size);
    const res = await request(url, { method, body: body === '' ? null : body });
    this.clientStatus = res.statusCode;
    await res.body.dump();
  },
);

When('a client sends {int} requests one after the other', async function send(this: Steps, count) {
  const url = `http://${HOST}:${this.listenerPort}/jobs/a`;
  for (let i = 0; i < count; i += 1) {
    const res = await request(url, { method: 'POST', body: createBody('50 bytes') });
    await res.body.dump();
  }
});

Then('the listener has handled {int} request(s)', function check(this: Steps, count: number) {
  assert.equal(this.handled, count);
});

Then('the client has been answered', function check(this: Steps) {
  assert.equal(this.clientStatus, 200);
});
