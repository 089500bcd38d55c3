import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { computeClientLimits, type ClientLimits } from '@lagoongap/platform/clientLimits.js';
import { NotSentError } from '@lagoongap/platform/notSentError.js';
import { PlatformClient, type PlatformResponse } from '@lagoongap/platform/platformClient.js';

interface OutgoingWorld {
  servers?: Server[];
  outgoingClient: PlatformClient;
  openConnections: number;
  maxConnections: number;
  /** Number of times at which the bound did not hold soon after a call. */
  excesses: number;
  waitMs: number;
  /** Descriptors that all connections of the computed limits leave. */
  remainingDescriptors: number;
  results: PromiseSettledResult<PlatformResponse>[];
  limits: ClientLimits;
}

const TIMEOUT_MS = 5000;
const KEEP_ALIVE_MS = 20_000;
/** Time for the servers to see the end of a connection, shorter than they keep idle ones. */
const SETTLE_MS = 2000;
const POLL_MS = 5;

function callAll({ servers, outgoingClient }: OutgoingWorld): Promise<PlatformResponse>[] {
  return servers!.map((server) => {
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return outgoingClient.call({ method: 'GET', address, path: '/', timeoutMs: TIMEOUT_MS });
  });
}

async function startServer(world: OutgoingWorld): Promise<Server> {
  const server = createServer((_, res) => {
    setTimeout(() => res.end('{}'), world.waitMs);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.on('connection', (socket) => {
    Object.assign(world, { openConnections: world.openConnections + 1 });
    socket.on('close', () => {
      Object.assign(world, { openConnections: world.openConnections - 1 });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

Given(
  '{int} servers that keep connections open, and a client with at most {int} connections',
  async function start(this: OutgoingWorld, count: number, maxConnections: number) {
    Object.assign(this, {
      openConnections: 0,
      excesses: 0,
      maxConnections,
      waitMs: 0,
      servers: [],
    });
    while (this.servers!.length < count) this.servers!.push(await startServer(this));
    this.outgoingClient = new PlatformClient(maxConnections);
  },
);

After(async function stop(this: OutgoingWorld) {
  if (!this.servers) return;
  await this.outgoingClient[Symbol.asyncDispose]();
  for (const server of this.servers) {
    server.closeAllConnections();
    server.close();
  }
});

When(
  'the client calls each server twice, one after the other',
  async function call(this: OutgoingWorld) {
    const { servers } = this;
    this.results = [];
    for (const server of [...servers!, ...servers!]) {
      const calls = callAll({ ...this, servers: [server] });
      this.results.push(...(await Promise.allSettled(calls)));
      const endMs = performance.now() + SETTLE_MS;
      while (this.openConnections > this.maxConnections && performance.now() < endMs) {
        await delay(POLL_MS);
      }
      if (this.openConnections > this.maxConnections) this.excesses += 1;
    }
  },
);

Then(
  'all calls are answered, and at most {int} connections stay open',
  function check(this: OutgoingWorld, maxConnections: number) {
    assert.equal(this.maxConnections, maxConnections);
    const failed = this.results.filter(({ status }) => status === 'rejected');
    assert.deepEqual(failed, []);
    assert.equal(this.excesses, 0);
  },
);

When(
  'the client calls all servers at once, and each takes {int} ms',
  async function call(this: OutgoingWorld, waitMs: number) {
    this.waitMs = waitMs;
    this.results = await Promise.allSettled(callAll(this));
  },
);

Then(
  '{int} calls are answered, and the others were not sent',
  function check(this: OutgoingWorld, count: number) {
    const failed = this.results.flatMap((it) => (it.status === 'rejected' ? [it.reason] : []));
    assert.equal(this.results.length - failed.length, count);
    for (const err of failed) assert.ok(err instanceof NotSentError, String(err));
  },
);

Then('a further call to each server is answered', async function check(this: OutgoingWorld) {
  this.waitMs = 0;
  for (const server of this.servers!) await Promise.all(callAll({ ...this, servers: [server] }));
});

When(
  /^the limits of a (gateway|replica) with (\d+) MB and (\d+) descriptors are computed$/,
  function compute(this: OutgoingWorld, role: 'gateway' | 'replica', mb: string, count: string) {
    this.limits = computeClientLimits(role, {
      memoryMb: Number(mb),
      maxDescriptors: Number(count),
    });
    const { main, side, outgoingConnections, peerConnections } = this.limits;
    const sideListeners = role === 'gateway' ? 2 : 1;
    this.remainingDescriptors =
      Number(count) -
      main.maxConnections -
      sideListeners * side.maxConnections -
      outgoingConnections -
      peerConnections;
  },
);

Then(
  'all its connections together leave at least {int} descriptors',
  function check(this: OutgoingWorld, files: number) {
    assert.ok(this.remainingDescriptors >= files, `${this.remainingDescriptors} are left`);
  },
);

Then(
  'there are at least {int} connections of endpoints, {int} to endpoints and {int} of instances',
  function check(this: OutgoingWorld, inbound: number, outgoing: number, peers: number) {
    assert.ok(this.limits.main.maxConnections >= inbound);
    assert.ok(this.limits.outgoingConnections >= outgoing);
    assert.ok(this.limits.peerConnections >= peers);
  },
);
