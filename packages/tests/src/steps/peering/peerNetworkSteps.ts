import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { toRefusalError } from '@lagoongap/peering/rpcErrors.js';
import type { RelayDirection } from '@lagoongap/stand-in/relayedConnection.js';

import {
  PeeringFixture,
  type PeeringLimits,
  type PeeringWorld,
} from '../../peering/peeringFixture.js';
import { waitFor } from '../../peering/waitFor.js';

type Settled = PeeringFixture['settled'][number];

interface EarlyWorld extends PeeringWorld {
  settled: Settled[];
}

interface TimedWorld extends PeeringWorld {
  stalledSinceMs: number;
}

async function startPeering(world: PeeringWorld, limits: PeeringLimits): Promise<void> {
  const peering = new PeeringFixture();
  Object.assign(world, { peering });
  peering.limits = { ...peering.limits, ...limits };
  await peering.start();
  await peering.connect();
}

After(async function closePeering(this: PeeringWorld) {
  await this.peering?.[Symbol.asyncDispose]();
});

Given('two connected peers', async function start(this: PeeringWorld) {
  await startPeering(this, {});
});

Given('two connected peers with default timeouts', async function start(this: PeeringWorld) {
  await startPeering(this, { pingMs: undefined, silenceMs: undefined });
});

Given(
  'two connected peers with frames of at most {int} bytes',
  async function start(this: PeeringWorld, maxFrameBytes: number) {
    await startPeering(this, { maxFrameBytes });
  },
);

Given(
  'two connected peers with a send buffer of {int} bytes',
  async function start(this: PeeringWorld, maxSendBufferBytes: number) {
    await startPeering(this, { maxSendBufferBytes });
  },
);

When(
  '{int} calls are made whose responses arrive in reverse order',
  async function callReversed(this: PeeringWorld, count: number) {
    const calls = Array.from({ length: count }, (_, i) =>
      this.peering.record(String(i), 'b', 'hold', { call: i }),
    );
    const { heldResponses, settled } = this.peering;
    await waitFor('all calls have arrived', () => heldResponses.length === count);
    for (const [index, respond] of heldResponses.reverse().entries()) {
      respond();
      await waitFor('the response has arrived', () => settled.length === index + 1);
    }
    await Promise.all(calls);
  },
);

Then('each call received its own response', function checkResponses(this: PeeringWorld) {
  const { settled } = this.peering;
  const count = settled.length;
  for (const { name, value } of settled) assert.deepEqual(value, { call: Number(name) });
  const reversed = Array.from({ length: count }, (_, i) => String(count - 1 - i));
  assert.deepEqual(
    settled.map(({ name }) => name),
    reversed,
  );
});

When(
  /^peer (\w+) is called with method (\w+)$/,
  async function callMethod(this: PeeringWorld, to: string, method: string) {
    await this.peering.record(method, to, method, {});
  },
);

When(
  'peer b is called as soon as it is dialled, with up to {int} ms for the connection',
  async function callAtOnce(this: PeeringWorld, connectMs: number) {
    await using peering = new PeeringFixture();
    Object.assign(this, { settled: peering.settled });
    await peering.start();
    await peering.record('early', 'b', 'echo', 1, 2000, connectMs);
  },
);

Then('the early call {word}', function check(this: EarlyWorld, outcome: string) {
  const [{ value, error }] = this.settled as [Settled];
  if (outcome === 'succeeded') assert.equal(value, 1);
  else assert.equal(error?.name, 'PeerUnavailableError');
});

Then('the call failed with {word}', function checkError(this: PeeringWorld, name: string) {
  assert.equal(this.peering.lastSettled.error?.name, name);
});

Then(
  'the call failed with {word}, code {int} and data {string}',
  function checkRemoteError(this: PeeringWorld, name: string, code: number, data: string) {
    const error = this.peering.lastSettled.error as Error & { code: number; data: unknown };
    assert.equal(error.name, name);
    assert.equal(error.code, code);
    assert.equal(String(JSON.stringify(error.data)), data);
  },
);

Then('the refusal can be restored from the error', function checkRefusal(this: PeeringWorld) {
  assert.deepEqual(toRefusalError(this.peering.lastSettled.error)?.refusal, {
    type: 'queue-full',
    runState: 'not-run',
    message: 'queue is full',
  });
});

When(
  'peer b is called with a timeout of {int} ms and responds after {int} ms',
  async function callDelayed(this: PeeringWorld, timeoutMs: number, delayMs: number) {
    await this.peering.record('slow', 'b', 'delay', delayMs, timeoutMs);
  },
);

Then(
  'peer a logged that the response to method {word} came too late',
  function checkLate(this: PeeringWorld, method: string) {
    const lines = this.peering.log.filter((line) => line.includes('response came too late'));
    assert.equal(lines.length, 1);
    assert.ok(lines[0]!.startsWith('a: ') && lines[0]!.includes(`"method":"${method}"`));
  },
);

Then(
  'later calls receive their own responses while the late one arrives',
  async function checkLaterCalls(this: PeeringWorld) {
    const { traffic } = this.peering.networks.get('a')!;
    const before = traffic.get('b')!.messagesIn;
    const until = performance.now() + 150;
    for (let i = 0; performance.now() < until; i += 1) {
      assert.equal(await this.peering.call('a', 'b', 'echo', i), i);
    }
    assert.ok(traffic.get('b')!.messagesIn > before);
  },
);

When('peer b has stopped', async function stop(this: PeeringWorld) {
  await this.peering.networks.get('b')![Symbol.asyncDispose]();
  await waitFor('a detects that b has closed its connections', () =>
    this.peering.log.some((line) => line.startsWith('a: connection to instance lost')),
  );
});

When('peer b has started again', async function restart(this: PeeringWorld) {
  await this.peering.startNetwork('b');
});

Then(
  'peer a can call peer b within {int} ms',
  async function checkReachable(this: PeeringWorld, boundMs: number) {
    const call = () => this.peering.call('a', 'b', 'echo', 1, boundMs);
    const works = () => call().then(Boolean, () => false);
    await waitFor('a can call b', works, boundMs);
  },
);

When(
  'peer b is called and the connection is dropped before the response',
  async function dropDuringCall(this: PeeringWorld) {
    const call = this.peering.record('dropped', 'b', 'delay', 500);
    await delay(30);
    this.peering.relays.get('a-b')!.dropConnections();
    await call;
  },
);

When(
  /^the open connections between the peers stop transferring data in direction (both|to-target|from-target)$/,
  function stallConnections(this: TimedWorld, direction: RelayDirection | 'both') {
    for (const relay of this.peering.relays.values()) relay.pause(direction, 'open');
    this.stalledSinceMs = performance.now();
  },
);

Then('it failed within {int} ms', function checkDuration(this: TimedWorld, boundMs: number) {
  const elapsedMs = performance.now() - this.stalledSinceMs;
  assert.ok(elapsedMs < boundMs, `${elapsedMs} ms`);
});

When('all traffic between the peers stops', function stopTraffic(this: PeeringWorld) {
  for (const relay of this.peering.relays.values()) relay.pause();
});

When('all traffic between the peers resumes', function resume(this: PeeringWorld) {
  for (const relay of this.peering.relays.values()) relay.resume();
});

Then(
  /^peer b becomes (alive|suspect) for peer a$/,
  async function checkLiveness(this: PeeringWorld, liveness: string) {
    const network = this.peering.networks.get('a')!;
    await waitFor(`b is ${liveness}`, () => network.isAlive('b') === (liveness === 'alive'));
  },
);

When('the peers make no calls for {int} ms', async (ms: number) => {
  await delay(ms);
});

Then('no connection has been replaced', function checkConnects(this: PeeringWorld) {
  assert.equal(this.peering.networks.get('a')!.traffic.get('b')!.connects, 1);
  assert.equal(this.peering.networks.get('b')!.traffic.get('a')!.connects, 1);
});
