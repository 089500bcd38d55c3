import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, Socket, type AddressInfo, type Server } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { encodeFrame } from '@lagoongap/peering/frameCodec.js';
import { FrameDecoder } from '@lagoongap/peering/frameDecoder.js';
import { FramedConnection } from '@lagoongap/peering/framedConnection.js';

import { waitFor } from '../../peering/waitFor.js';

interface FramedWorld {
  framedServer?: Server;
  framedSender: Socket;
  framedCloseReasons: string[];
  framedConnection: FramedConnection;
  writes: Buffer[];
  sentCount: number;
  writesInCallback: number;
}

Given(
  'a framed connection with an idle timeout of {int} ms',
  async function connectPair(this: FramedWorld, silenceMs: number) {
    this.framedServer = createServer();
    this.framedServer.listen(0, '127.0.0.1');
    await once(this.framedServer, 'listening');
    const accepted = once(this.framedServer, 'connection');
    const { port } = this.framedServer.address() as AddressInfo;
    this.framedSender = connect(port, '127.0.0.1');
    this.framedSender.on('error', () => undefined);
    const [socket] = (await accepted) as [Socket];
    this.framedCloseReasons = [];
    const connection = new FramedConnection({
      socket,
      maxFrameBytes: 1000,
      maxSendBufferBytes: 1000,
      silenceMs,
      onMessage: () => undefined,
      onClose: (cause) => this.framedCloseReasons.push(cause.message),
    });
    assert.equal(connection.socket, socket);
  },
);

When(
  'a frame arrives while the event loop is blocked for {int} ms',
  async function block(this: FramedWorld, ms: number) {
    // The write reaches the kernel immediately, so the frame is pending there during the block.
    this.framedSender.write(encodeFrame({ control: 'ping' }, 1000));
    const until = performance.now() + ms;
    while (performance.now() < until);
    await delay(20);
  },
);

Then('the framed connection is still open', function checkOpen(this: FramedWorld) {
  assert.deepEqual(this.framedCloseReasons, []);
});

Then(
  'the framed connection is reset within {int} ms',
  async function checkReset(this: FramedWorld, boundMs: number) {
    await waitFor('the connection is reset', () => this.framedCloseReasons.length > 0, boundMs);
    assert.match(this.framedCloseReasons[0]!, /no frame for \d+ ms/);
  },
);

After(function closeFramedServer(this: FramedWorld) {
  this.framedSender?.destroy();
  this.framedServer?.close();
});

Given('a framed connection to a socket that records writes', function record(this: FramedWorld) {
  this.writes = [];
  this.sentCount = 0;
  this.framedSender = new Socket();
  this.framedSender.write = (bytes: Uint8Array | string) => {
    this.writes.push(Buffer.from(bytes as Uint8Array));
    return true;
  };
  this.framedConnection = new FramedConnection({
    socket: this.framedSender,
    maxFrameBytes: 1000,
    maxSendBufferBytes: 1000,
    silenceMs: 60_000,
    onMessage: () => undefined,
    onClose: () => undefined,
  });
});

When(
  '{int} messages are sent in one callback',
  async function send(this: FramedWorld, count: number) {
    const writesBefore = this.writes.length;
    for (let i = 0; i < count; i += 1) {
      this.sentCount += 1;
      this.framedConnection.send({ id: this.sentCount }, 1000);
    }
    await new Promise<void>((resolve) => {
      process.nextTick(resolve);
    });
    this.writesInCallback = this.writes.length - writesBefore;
    await new Promise((resolve) => {
      setImmediate(() => setImmediate(resolve));
    });
  },
);

Then(
  'the socket had recorded {int} writes before the end of the iteration',
  function checkWrites(this: FramedWorld, count: number) {
    assert.equal(this.writesInCallback, count);
  },
);

Then('the socket has recorded {int} frames in order', function check(this: FramedWorld, count) {
  const decoder = new FrameDecoder(1000);
  decoder.push(Buffer.concat(this.writes));
  for (let id = 1; id <= count; id += 1) assert.deepEqual(decoder.next(), { id });
});
