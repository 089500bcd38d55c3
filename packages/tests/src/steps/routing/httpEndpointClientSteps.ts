import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import { Readable } from 'node:stream';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Before, Given, Then, When } from '@cucumber/cucumber';
import type { RelayRequest } from '@lagoongap/routing/endpointClient.js';
import { ExchangeError } from '@lagoongap/routing/exchangeError.js';
import { HttpEndpointClient } from '@lagoongap/routing/httpEndpointClient.js';
import { StandInEndpoint } from '@lagoongap/stand-in/standInEndpoint.js';

import { createStandInOptions } from '../stand-in/standInFixture.js';
import { RawEndpoint, type RawReaction } from './rawEndpoint.js';

interface ExchangeWorld {
  client: HttpEndpointClient;
  cleanups: (() => unknown)[];
  url: string;
  raw: RawEndpoint;
  requests: number;
  error: ExchangeError | undefined;
  answer: Buffer;
  sentBody: Buffer;
  bodyStream: Readable;
  checkedAtMs: number;
  firstChunkAtMs: number;
  startResult: string;
}

/** Short timeouts, so that an unresponsive endpoint is detected within a second. */
const SHORT_TIMEOUTS = {
  maxInactivityMs: 150,
  recheckMs: 50,
  probeTimeoutMs: 100,
  dialTimeoutMs: 300,
  maxConnectionsPerEndpoint: 4,
  maxIdleMs: 400,
};

const DEADLINE_MS = 1500;
const WAIT_MS = 4000;
const MIB = 1024 * 1024;

let world: ExchangeWorld;

Before(() => {
  world = {} as ExchangeWorld;
});

After(async () => {
  for (const cleanUp of world.cleanups ?? []) await cleanUp();
});

async function useRaw(react: RawReaction): Promise<void> {
  world.raw = new RawEndpoint(react);
  world.cleanups.push(() => world.raw[Symbol.asyncDispose]());
  await world.raw.start();
  world.url = world.raw.url;
}

async function waitUntil(condition: () => boolean, awaited: string): Promise<void> {
  const endsAtMs = performance.now() + WAIT_MS;
  while (!condition()) {
    assert.ok(performance.now() < endsAtMs, `awaited: ${awaited}`);
    await delay(10);
  }
}

async function relay(change: Partial<RelayRequest>): Promise<void> {
  world.requests += 1;
  world.error = undefined;
  world.answer = Buffer.alloc(0);
  const request: RelayRequest = {
    url: world.url,
    attempt: `attempt-${world.requests}`,
    token: world.requests,
    team: 'team',
    work: 'echo',
    headers: {},
    body: Buffer.from('hello'),
    deadlineMs: DEADLINE_MS,
    ...change,
  };
  try {
    const { body } = await world.client.relay(request);
    for await (const chunk of body) world.answer = Buffer.concat([world.answer, chunk]);
  } catch (err) {
    assert.ok(err instanceof ExchangeError, String(err));
    world.error = err;
  }
}

Given('an HTTP endpoint client', () => {
  world.requests = 0;
  world.client = new HttpEndpointClient(SHORT_TIMEOUTS);
  world.cleanups = [() => world.client[Symbol.asyncDispose]()];
});

Given('a healthy endpoint for the client', async () => {
  const endpoint = new StandInEndpoint(createStandInOptions({ gateways: [] }));
  world.cleanups.push(() => endpoint[Symbol.asyncDispose]());
  await endpoint.start();
  world.url = endpoint.url;
});

Given(
  'an endpoint that responds with headers {string} and body {string} and closes by {word}',
  async (head: string, body: string, close: string) => {
    await useRaw(({ socket, attempt }) => {
      const fields = [`lagoongap-attempt: ${attempt}`, ...head.split(';')].join('\r\n');
      socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n\r\n${body.replaceAll(';', '\r\n')}`, () =>
        setTimeout(() => (close === 'RST' ? socket.resetAndDestroy() : socket.end()), 20),
      );
    });
  },
);

Given('an endpoint that has no valid URL', () => {
  world.url = 'endpoint-1';
});

Given('an endpoint that refuses connections', async () => {
  await useRaw(() => {});
  await world.raw[Symbol.asyncDispose]();
  world.cleanups.pop();
});

Given('an endpoint that does not accept connections', async () => {
  // The child process never accepts, and the connections below fill its listen backlog of one.
  const script = `const server = require('net').createServer().listen(
      { port: 0, host: '127.0.0.1', backlog: 1 }, () => {
        require('fs').writeSync(1, server.address().port + '\\n');
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 20000);
      });`;
  const child = spawn(process.execPath, ['-e', script], { stdio: ['ignore', 'pipe', 'ignore'] });
  world.cleanups.push(() => child.kill('SIGKILL'));
  const [line] = await once(child.stdout, 'data');
  const port = Number(line);
  const fillers = Array.from({ length: 4 }, () => connect(port, '127.0.0.1'));
  for (const filler of fillers) filler.on('error', () => {});
  world.cleanups.push(() => fillers.forEach((filler) => filler.destroy()));
  await delay(100);
  world.url = `http://127.0.0.1:${port}`;
});

Given('an endpoint that closes connections after the request', async () =>
  useRaw(({ socket }) => socket.end()),
);

Given(/^an endpoint that responds (for another|without an) attempt$/, async (kind: string) => {
  const field = kind === 'for another' ? 'lagoongap-attempt: attempt-0\r\n' : '';
  await useRaw(({ socket }) =>
    socket.write(`HTTP/1.1 200 OK\r\n${field}content-length: 5\r\n\r\nwhole`),
  );
});

Given(
  'an endpoint that is unresponsive and reports the attempt as {word}',
  async (presence: string) => {
    await useRaw(() => {});
    world.raw.presence = presence;
  },
);

Given('an endpoint that is unresponsive, also to probes', async () => {
  await useRaw(() => {});
  world.raw.presence = undefined;
});

Given('an endpoint that becomes unresponsive in the middle of the response', async () => {
  await useRaw(({ socket, attempt }) => {
    const fields = `lagoongap-attempt: ${attempt}\r\ncontent-length: 9`;
    socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n\r\nshort`);
  });
});

Given('an endpoint whose connections stop responding after the first response', async () => {
  await useRaw(({ socket, attempt, countOnConnection }) => {
    if (countOnConnection > 1) return;
    const fields = `lagoongap-attempt: ${attempt}\r\ncontent-length: 5`;
    socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n\r\nwhole`);
  });
});

Given('an endpoint that counts its connections', async () => useRaw(({ socket }) => socket.end()));

Given('an endpoint that responds to start orders with status {int}', async (status: number) => {
  await useRaw(({ socket }) =>
    socket.write(`HTTP/1.1 ${status} Status\r\ncontent-length: 2\r\n\r\n{}`),
  );
});

Given('all connections of the client are in use', async () => {
  const count = SHORT_TIMEOUTS.maxConnectionsPerEndpoint;
  for (let i = 0; i < count; i++) {
    const body = Buffer.from('waiting');
    const base = { url: world.url, token: 1, team: 'team', work: 'echo', headers: {}, body };
    world.client
      .relay({ ...base, attempt: `waiting-${i}`, deadlineMs: WAIT_MS })
      .catch((err) => assert.ok(err instanceof ExchangeError));
  }
  await waitUntil(() => world.raw.receivedBytes > 0, 'requests in flight');
});

When('the client relays {string}', async (text: string) => relay({ body: Buffer.from(text) }));

When('the client relays {string} with an expired deadline', async (text: string) => {
  await relay({ body: Buffer.from(text), deadlineMs: 0 });
});

When('the client relays {string}, which must not be repeated', async (text: string) =>
  relay({ body: Buffer.from(text), noRepeat: true }),
);

When('the client relays {int} MiB in chunks to a slow receiver', async (mebibytes: number) => {
  world.sentBody = Buffer.alloc(mebibytes * MIB);
  for (let i = 0; i < world.sentBody.length; i += 4) world.sentBody.writeUInt32LE(i, i);
  const chunks = Array.from({ length: mebibytes * 4 }, (_, i) =>
    world.sentBody.subarray((i * MIB) / 4, ((i + 1) * MIB) / 4),
  );
  const { body } = await world.client.relay({
    url: world.url,
    attempt: 'chunks',
    token: 1,
    team: 'team',
    work: 'echo',
    headers: {},
    body: Readable.from(chunks),
    deadlineMs: WAIT_MS,
  });
  await delay(200);
  assert.ok(body.readableLength < MIB, `${body.readableLength} bytes buffered`);
  const received: Buffer[] = [];
  for await (const chunk of body) {
    received.push(chunk as Buffer);
    if (received.length % 16 === 0) await delay(5);
  }
  world.answer = Buffer.concat(received);
});

When('the client relays {string} and the check before sending fails', async (text: string) => {
  const beforeSend = () => {
    throw new Error('no longer valid');
  };
  await relay({ body: Buffer.from(text), beforeSend });
});

When('the client relays a body whose first chunk is delayed', async () => {
  const body = new Readable({ read() {} });
  setTimeout(() => {
    world.firstChunkAtMs = performance.now();
    body.push('late');
    body.push(null);
  }, 100);
  const beforeSend = () => {
    world.checkedAtMs = performance.now();
  };
  await relay({ body, beforeSend });
});

When('the process pauses beyond the deadline while the client connects', async () => {
  const relaying = relay({ deadlineMs: 50 });
  const endsAtMs = performance.now() + 100;
  while (performance.now() < endsAtMs);
  await relaying;
});

When('the client relays {string} and the caller disconnects', async (text: string) => {
  const abort = new AbortController();
  const relaying = relay({ body: Buffer.from(text), signal: abort.signal });
  await waitUntil(() => world.raw.receivedBytes > 0, 'the request at the endpoint');
  abort.abort();
  await relaying;
});

When('the client relays a body with a pause of {int} ms', async (pauseMs: number) => {
  const body = new Readable({ read() {} });
  body.push('first ');
  setTimeout(() => body.push('second') && body.push(null), pauseMs);
  await relay({ body });
});

When('the client relays a body that does not end', async () => {
  world.bodyStream = new Readable({ read() {} });
  world.bodyStream.push('first chunk');
  await relay({ body: world.bodyStream });
});

When('the client sends a start order', async () => {
  const size = { cpuMillis: 1, memoryMib: 1, accelerators: 0, slots: 0 };
  const task = { attempt: 'a', token: 1, job: 'j', taskIndex: 0, team: 't', work: 'w' };
  const order = { ...task, size, leaseMs: 1000 };
  world.startResult = await world.client
    .startTask(world.url, order, { timeoutMs: DEADLINE_MS })
    .catch((err: ExchangeError) => err.runState);
});

Then('the relayed response is {string}', (text: string) => {
  assert.equal(world.error, undefined);
  assert.equal(world.answer.toString(), text);
});

Then('the relayed response is the echo of all chunks', () => {
  assert.equal(world.answer.subarray(0, 5).toString(), 'echo:');
  assert.ok(world.answer.subarray(5).equals(world.sentBody));
});

Then(
  'the exchange fails with {string} and run state {string}',
  (failure: string, runState: string) => {
    assert.ok(world.error !== undefined, 'the exchange succeeded');
    const { error } = world;
    assert.deepEqual({ failure: error.failure, runState: error.runState }, { failure, runState });
  },
);

Then('the endpoint has received no byte', async () => {
  await delay(50);
  assert.equal(world.raw.receivedBytes, 0);
});

Then('the check before sending was made after the first chunk had arrived', () =>
  assert.ok(world.checkedAtMs >= world.firstChunkAtMs),
);

Then('the client closes its idle connection', async () => {
  assert.equal(world.client.connectionCount, 1);
  await waitUntil(() => world.client.connectionCount === 0, 'idle connections closed');
});

Then('all connections to the endpoint are closed', async () =>
  waitUntil(() => world.raw.sockets.size === 0, 'connections closed'),
);

Then('the stream of the request body is not destroyed', () =>
  assert.equal(world.bodyStream.destroyed, false),
);

Then('the start result is {string}', (result: string) => assert.equal(world.startResult, result));
