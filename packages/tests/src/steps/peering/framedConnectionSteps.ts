import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { encodeFrame } from '@lagoongap/peering/frameCodec.js';
import { FramedConnection } from '@lagoongap/peering/framedConnection.js';

import { waitFor } from '../../peering/waitFor.js';

interface FramedWorld {
  framedServer?: Server;
  framedSender: Socket;
  framedCloseReasons: string[];
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
