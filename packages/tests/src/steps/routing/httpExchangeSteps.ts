import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import { Readable } from 'node:stream';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { RelayRequest } from '@lagoongap/routing/exchange.js';
import { ExchangeError } from '@lagoongap/routing/exchangeError.js';
import { HttpExchange } from '@lagoongap/routing/httpExchange.js';
import { StandInEndpoint } from '@lagoongap/stand-in/standInEndpoint.js';

import { createStandInOptions } from '../stand-in/standInFixture.js';
import { RawEndpoint, type RawReaction } from './rawEndpoint.js';

interface ExchangeWorld {
  exchange: HttpExchange;
  cleanUps: (() => unknown)[];
  url: string;
  raw: RawEndpoint;
  requests: number;
  error: ExchangeError | undefined;
  answer: Buffer;
  sentBody: Buffer;
  bodyStream: Readable;
  checkedAtMs: number;
  firstPieceAtMs: number;
  startResult: string;
}

/** Bounds under which silence is noticed in a fraction of a second. */
const QUICK_BOUNDS = {
  maxSilenceMs: 150,
  recheckMs: 50,
  probeTimeoutMs: 100,
  dialTimeoutMs: 300,
  maxConnectionsPerEndpoint: 4,
  maxIdleMs: 400,
};

const DEADLINE_MS = 1500;
const WAIT_MS = 4000;
const MIB = 1024 * 1024;

After(async function cleanUpExchange(this: Partial<ExchangeWorld>) {
  for (const cleanUp of this.cleanUps ?? []) await cleanUp();
});

async function useRaw(world: ExchangeWorld, react: RawReaction): Promise<void> {
  world.raw = new RawEndpoint(react);
  world.cleanUps.push(() => world.raw[Symbol.asyncDispose]());
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

async function relay(world: ExchangeWorld, change: Partial<RelayRequest>): Promise<void> {
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
    const { body } = await world.exchange.relay(request);
    for await (const chunk of body) world.answer = Buffer.concat([world.answer, chunk]);
  } catch (err) {
    assert.ok(err instanceof ExchangeError, String(err));
    world.error = err;
  }
}

Given('an HTTP exchange', function createExchange(this: ExchangeWorld) {
  this.requests = 0;
  this.exchange = new HttpExchange(QUICK_BOUNDS);
  this.cleanUps = [() => this.exchange[Symbol.asyncDispose]()];
});

Given('a sound endpoint for the exchange', async function startSound(this: ExchangeWorld) {
  const endpoint = new StandInEndpoint(createStandInOptions({ gateways: [] }));
  this.cleanUps.push(() => endpoint[Symbol.asyncDispose]());
  await endpoint.start();
  this.url = endpoint.url;
});

Given(
  'an endpoint that answers {string} with body {string} and closes by {word}',
  async function startCutting(this: ExchangeWorld, head: string, body: string, close: string) {
    await useRaw(this, ({ socket, attempt }) => {
      const fields = [`lagoongap-attempt: ${attempt}`, ...head.split(';')].join('\r\n');
      socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n\r\n${body.replaceAll(';', '\r\n')}`, () => {
        setTimeout(() => (close === 'RST' ? socket.resetAndDestroy() : socket.end()), 20);
      });
    });
  },
);

Given('an endpoint that refuses connections', async function startRefusing(this: ExchangeWorld) {
  await useRaw(this, () => {});
  await this.raw[Symbol.asyncDispose]();
  this.cleanUps.pop();
});

Given(
  'an endpoint that lets no connection be established',
  async function startBlocked(this: ExchangeWorld) {
    // The process never accepts, and the connections below fill its queue of one.
    const script = `const server = require('net').createServer().listen(
      { port: 0, host: '127.0.0.1', backlog: 1 }, () => {
        require('fs').writeSync(1, server.address().port + '\\n');
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 20000);
      });`;
    const child = spawn(process.execPath, ['-e', script], { stdio: ['ignore', 'pipe', 'ignore'] });
    this.cleanUps.push(() => child.kill('SIGKILL'));
    const [line] = await once(child.stdout, 'data');
    const port = Number(line);
    const fillers = Array.from({ length: 4 }, () => connect(port, '127.0.0.1'));
    for (const filler of fillers) filler.on('error', () => {});
    this.cleanUps.push(() => fillers.forEach((filler) => filler.destroy()));
    await delay(100);
    this.url = `http://127.0.0.1:${port}`;
  },
);

Given(
  'an endpoint that closes connections after the request',
  async function startClosing(this: ExchangeWorld) {
    await useRaw(this, ({ socket }) => socket.end());
  },
);

Given(
  /^an endpoint that answers (for another|without an) attempt$/,
  async function startMismatched(this: ExchangeWorld, kind: string) {
    const field = kind === 'for another' ? 'lagoongap-attempt: attempt-0\r\n' : '';
    await useRaw(this, ({ socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\n${field}content-length: 5\r\n\r\nwhole`);
    });
  },
);

Given(
  'an endpoint that is silent and says the attempt is {word}',
  async function startSilent(this: ExchangeWorld, presence: string) {
    await useRaw(this, () => {});
    this.raw.presence = presence;
  },
);

Given(
  'an endpoint that is silent and answers no probes',
  async function startDeaf(this: ExchangeWorld) {
    await useRaw(this, () => {});
    this.raw.presence = undefined;
  },
);

Given(
  'an endpoint that is silent in the middle of the answer',
  async function startStalling(this: ExchangeWorld) {
    await useRaw(this, ({ socket, attempt }) => {
      const fields = `lagoongap-attempt: ${attempt}\r\ncontent-length: 9`;
      socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n\r\nshort`);
    });
  },
);

Given(
  'an endpoint whose connections go silent after their first answer',
  async function startOnce(this: ExchangeWorld) {
    await useRaw(this, ({ socket, attempt, countHere }) => {
      if (countHere > 1) return;
      const fields = `lagoongap-attempt: ${attempt}\r\ncontent-length: 5`;
      socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n\r\nwhole`);
    });
  },
);

Given('an endpoint that counts its connections', async function startCounting(this: ExchangeWorld) {
  await useRaw(this, ({ socket }) => socket.end());
});

Given(
  'an endpoint that answers start orders with status {int}',
  async function startAnswering(this: ExchangeWorld, status: number) {
    await useRaw(this, ({ socket }) => {
      socket.write(`HTTP/1.1 ${status} Status\r\ncontent-length: 2\r\n\r\n{}`);
    });
  },
);

Given(
  'the exchange has as many requests under way as it has connections',
  async function fillConnections(this: ExchangeWorld) {
    const count = QUICK_BOUNDS.maxConnectionsPerEndpoint;
    for (let i = 0; i < count; i++) {
      const body = Buffer.from('waiting');
      const base = { url: this.url, token: 1, team: 'team', work: 'echo', headers: {}, body };
      this.exchange
        .relay({ ...base, attempt: `waiting-${i}`, deadlineMs: WAIT_MS })
        .catch((err) => assert.ok(err instanceof ExchangeError));
    }
    await waitUntil(() => this.raw.receivedBytes > 0, 'requests under way');
  },
);

When('the exchange relays {string}', async function relayText(this: ExchangeWorld, text: string) {
  await relay(this, { body: Buffer.from(text) });
});

When(
  'the exchange relays {string}, which must not be repeated',
  async function relayOnce(this: ExchangeWorld, text: string) {
    await relay(this, { body: Buffer.from(text), noRepeat: true });
  },
);

When(
  'the exchange relays {int} MiB in pieces to a slow receiver',
  async function relayPieces(this: ExchangeWorld, mebibytes: number) {
    this.sentBody = Buffer.alloc(mebibytes * MIB);
    for (let i = 0; i < this.sentBody.length; i += 4) this.sentBody.writeUInt32LE(i, i);
    const pieces = Array.from({ length: mebibytes * 4 }, (_, i) =>
      this.sentBody.subarray((i * MIB) / 4, ((i + 1) * MIB) / 4),
    );
    const { body } = await this.exchange.relay({
      url: this.url,
      attempt: 'pieces',
      token: 1,
      team: 'team',
      work: 'echo',
      headers: {},
      body: Readable.from(pieces),
      deadlineMs: WAIT_MS,
    });
    const received: Buffer[] = [];
    for await (const chunk of body) {
      received.push(chunk as Buffer);
      if (received.length % 16 === 0) await delay(5);
    }
    this.answer = Buffer.concat(received);
  },
);

When(
  'the exchange relays {string} and the last check fails',
  async function relayPrevented(this: ExchangeWorld, text: string) {
    const beforeSend = () => {
      throw new Error('no longer valid');
    };
    await relay(this, { body: Buffer.from(text), beforeSend });
  },
);

When(
  'the exchange relays a body whose first piece comes late',
  async function relayLate(this: ExchangeWorld) {
    const body = new Readable({ read() {} });
    setTimeout(() => {
      this.firstPieceAtMs = performance.now();
      body.push('late');
      body.push(null);
    }, 100);
    const beforeSend = () => {
      this.checkedAtMs = performance.now();
    };
    await relay(this, { body, beforeSend });
  },
);

When(
  'the process pauses beyond the deadline while the exchange connects',
  async function relayPaused(this: ExchangeWorld) {
    const relaying = relay(this, { deadlineMs: 50 });
    const endsAtMs = performance.now() + 100;
    while (performance.now() < endsAtMs);
    await relaying;
  },
);

When(
  'the exchange relays {string} and the caller goes',
  async function relayAborted(this: ExchangeWorld, text: string) {
    const abort = new AbortController();
    const relaying = relay(this, { body: Buffer.from(text), signal: abort.signal });
    await waitUntil(() => this.raw.receivedBytes > 0, 'the request at the endpoint');
    abort.abort();
    await relaying;
  },
);

When(
  'the exchange relays a body that does not end',
  async function relayEndless(this: ExchangeWorld) {
    this.bodyStream = new Readable({ read() {} });
    this.bodyStream.push('first piece');
    await relay(this, { body: this.bodyStream });
  },
);

When('the exchange sends a start order', async function startTask(this: ExchangeWorld) {
  const size = { cpuMillis: 1, memoryMib: 1, accelerators: 0, slots: 0 };
  const task = { attempt: 'a', token: 1, job: 'j', taskIndex: 0, team: 't', work: 'w' };
  const order = { ...task, size, leaseMs: 1000 };
  this.startResult = await this.exchange
    .startTask(this.url, order, { timeoutMs: DEADLINE_MS })
    .catch((err: ExchangeError) => err.runState);
});

Then('the relayed answer is {string}', function checkAnswer(this: ExchangeWorld, text: string) {
  assert.equal(this.error, undefined);
  assert.equal(this.answer.toString(), text);
});

Then('the relayed answer is the echo of all pieces', function checkEcho(this: ExchangeWorld) {
  assert.equal(this.answer.subarray(0, 5).toString(), 'echo:');
  assert.ok(this.answer.subarray(5).equals(this.sentBody));
});

Then(
  'the exchange fails with {string} and run state {string}',
  function checkFailure(this: ExchangeWorld, failure: string, runState: string) {
    assert.ok(this.error !== undefined, 'the exchange has succeeded');
    const { error } = this;
    assert.deepEqual({ failure: error.failure, runState: error.runState }, { failure, runState });
  },
);

Then('the endpoint has received no byte', async function checkNothingSent(this: ExchangeWorld) {
  await delay(50);
  assert.equal(this.raw.receivedBytes, 0);
});

Then(
  'the last check was made after the first piece had come',
  function checkOrder(this: ExchangeWorld) {
    assert.ok(this.checkedAtMs >= this.firstPieceAtMs);
  },
);

Then('the exchange soon has no connection', async function checkIdle(this: ExchangeWorld) {
  assert.equal(this.exchange.connectionCount, 1);
  await waitUntil(() => this.exchange.connectionCount === 0, 'idle connections closed');
});

Then('the endpoint sees its connections closed', async function checkClosed(this: ExchangeWorld) {
  await waitUntil(() => this.raw.sockets.size === 0, 'connections closed');
});

Then(
  'the stream of the request body is not destroyed',
  function checkStreamOpen(this: ExchangeWorld) {
    assert.equal(this.bodyStream.destroyed, false);
  },
);

Then('the start result is {string}', function checkStart(this: ExchangeWorld, result: string) {
  assert.equal(this.startResult, result);
});
