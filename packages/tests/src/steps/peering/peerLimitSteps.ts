import assert from 'node:assert/strict';
import { connect, Socket } from 'node:net';

import { After, Then, When } from '@cucumber/cucumber';
import { encodeFrame } from '@lagoongap/peering/frameCodec.js';

import type { PeeringWorld } from '../../peering/peeringFixture.js';
import { waitFor } from '../../peering/waitFor.js';

interface LimitWorld extends PeeringWorld {
  socketWrites: number;
  selfCallOrder: string[];
  framesBefore: number;
  openCalls: PromiseSettledResult<unknown>[];
  unidentifiedClient?: Socket;
  clientReceivedBytes: number;
}

function countFrames(world: PeeringWorld): number {
  return world.peering.networks.get('a')!.traffic.get('b')!.messagesOut;
}

When(
  'peer b is called with {int} bytes',
  async function callLarge(this: LimitWorld, bytes: number) {
    await this.peering.record('large', 'b', 'echo', 'x'.repeat(bytes));
  },
);

When(
  'peer b is asked for a response of {int} bytes',
  async function requestLargeResponse(this: LimitWorld, bytes: number) {
    await this.peering.record('large response', 'b', 'repeat', bytes);
  },
);

When(
  '{int} calls and {int} notifications of {int} bytes are sent in one event-loop iteration',
  async function fillBuffer(this: LimitWorld, calls: number, notifications: number, bytes: number) {
    const text = 'x'.repeat(bytes);
    const pending = Array.from({ length: calls }, (_, i) =>
      this.peering.record(String(i), 'b', 'echo', text),
    );
    for (let i = 0; i < notifications; i += 1)
      this.peering.networks.get('a')!.notify('b', 'note', text);
    await Promise.all(pending);
  },
);

Then(
  '{int} calls succeeded and {int} calls failed with {word}',
  function checkCounts(this: LimitWorld, successes: number, failures: number, name: string) {
    const failed = this.peering.settled.filter(({ error }) => error);
    assert.equal(this.peering.settled.length - failed.length, successes);
    assert.equal(failed.length, failures);
    for (const { error } of failed) {
      assert.equal(error!.name, name);
      assert.match(error!.message, /send buffer is full/);
    }
  },
);

Then(
  '{int} notifications were dropped and counted',
  function checkDropped(this: LimitWorld, count: number) {
    assert.equal(this.peering.receivedNotifications.length, 0);
    assert.equal(this.peering.networks.get('a')!.traffic.get('b')!.dropped, count);
  },
);

When(
  '{int} notifications are sent in one event-loop iteration',
  async function notifyMany(this: LimitWorld, count: number) {
    const { write } = Socket.prototype;
    let writes = 0;
    Socket.prototype.write = function countWrite(this: Socket, ...args: unknown[]) {
      writes += 1;
      return Reflect.apply(write, this, args) as boolean;
    };
    try {
      const network = this.peering.networks.get('a')!;
      for (let i = 0; i < count; i += 1) network.notify('b', 'note', i);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    } finally {
      Socket.prototype.write = write;
    }
    this.socketWrites = writes;
  },
);

Then('the socket was written to once', function checkWrites(this: LimitWorld) {
  assert.equal(this.socketWrites, 1);
});

Then(
  'peer b receives {int} notifications in order',
  async function checkNotified(this: LimitWorld, count: number) {
    await waitFor('all notifications', () => this.peering.receivedNotifications.length === count);
    assert.deepEqual(
      this.peering.receivedNotifications,
      Array.from({ length: count }, (_, i) => i),
    );
  },
);

When('peer a calls itself', async function callSelf(this: LimitWorld) {
  const network = this.peering.networks.get('a')!;
  this.selfCallOrder = [];
  network.handle('self', () => this.selfCallOrder.push('handler'));
  this.framesBefore = countFrames(this);
  const call = network.call('a', 'self', {}, { timeoutMs: 1000 });
  this.selfCallOrder.push('returned');
  await call;
});

Then('the handler ran after the call returned its promise', function check(this: LimitWorld) {
  assert.deepEqual(this.selfCallOrder, ['returned', 'handler']);
});

Then('no frames were counted for the call', function checkFrames(this: LimitWorld) {
  assert.equal(countFrames(this), this.framesBefore);
});

When('peer b is closed while calls are open', async function close(this: LimitWorld) {
  const network = this.peering.networks.get('b')!;
  network.handle('close', () => {
    setImmediate(() => {
      network[Symbol.asyncDispose]().catch((err) => this.peering.log.push(String(err)));
    });
    return 'closing';
  });
  this.openCalls = await Promise.allSettled([
    this.peering.call('a', 'b', 'delay', 500),
    this.peering.call('a', 'b', 'close', {}),
  ]);
});

Then(
  'responses of finished calls arrived and open calls failed with {word}',
  function checkClosed(this: LimitWorld, name: string) {
    const [open, finished] = this.openCalls;
    assert.deepEqual(finished, { status: 'fulfilled', value: 'closing' });
    assert.equal((open as PromiseRejectedResult).reason.name, name);
  },
);

/** Returns the first bytes that an unidentified client sends, from their description. */
function createFirstBytes(description: string): Buffer {
  const size = Number(/(\d+) bytes$/.exec(description)?.[1]);
  if (description.startsWith('a frame')) return encodeFrame({ text: 'x'.repeat(size) }, 1e6);
  const length = Buffer.alloc(4);
  if (description.startsWith('a length')) {
    length.writeUInt32BE(size);
    return length;
  }
  if (description === 'nothing') return Buffer.alloc(0);
  length.writeUInt32BE(description.length);
  return Buffer.concat([length, Buffer.from(description)]);
}

When(
  /^an unidentified client sends peer b (.*)$/,
  function sendUnidentified(this: LimitWorld, description: string) {
    const socket = connect(this.peering.networks.get('b')!.address);
    this.unidentifiedClient = socket;
    this.clientReceivedBytes = 0;
    socket.on('data', (chunk) => {
      this.clientReceivedBytes += chunk.length;
    });
    socket.on('error', () => undefined);
    socket.write(createFirstBytes(description));
  },
);

Then(
  "the client's connection is closed without a response",
  async function checkClosedWithoutResponse(this: LimitWorld) {
    await waitFor('the connection is closed', () => this.unidentifiedClient!.closed);
    assert.equal(this.clientReceivedBytes, 0);
  },
);

After(function destroyUnidentifiedClient(this: LimitWorld) {
  this.unidentifiedClient?.destroy();
});
