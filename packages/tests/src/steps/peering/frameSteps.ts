import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { FailureDetector } from '@lagoongap/peering/failureDetector.js';
import { encodeFrame } from '@lagoongap/peering/frameCodec.js';
import { FrameDecoder } from '@lagoongap/peering/frameDecoder.js';
import { FrameError } from '@lagoongap/peering/frameError.js';
import FakeTimers from '@sinonjs/fake-timers';
import fc from 'fast-check';

interface LivenessWorld {
  livenessClock?: ReturnType<typeof FakeTimers.install>;
  detector: FailureDetector;
  livenessChanges: string[];
}

const MAX_FRAME_BYTES = 1000;

/** Pushes all chunks and returns the decoded messages. */
function decodeChunks(decoder: FrameDecoder, chunks: Buffer[]): unknown[] {
  const messages: unknown[] = [];
  for (const chunk of chunks) {
    decoder.push(chunk);
    for (let message = decoder.next(); message; message = decoder.next()) messages.push(message);
  }
  return messages;
}

function splitAtSizes(bytes: Buffer, sizes: number[]): Buffer[] {
  const chunks: Buffer[] = [];
  let start = 0;
  for (const size of sizes) {
    chunks.push(bytes.subarray(start, start + size));
    start += size;
  }
  return [...chunks, bytes.subarray(start)];
}

Then('{int} random series of messages are decoded correctly from random chunks', (runs: number) => {
  const messages = fc.array(fc.dictionary(fc.string({ unit: 'binary' }), fc.jsonValue()));
  const sizes = fc.array(fc.integer({ min: 0, max: 40 }));
  const property = fc.property(messages, sizes, (given, chunkSizes) => {
    const plain = JSON.parse(JSON.stringify(given));
    const bytes = Buffer.concat(plain.map((message: unknown) => encodeFrame(message, 1e6)));
    const decoded = decodeChunks(new FrameDecoder(1e6), splitAtSizes(bytes, chunkSizes));
    assert.deepEqual(decoded, plain);
  });
  fc.assert(property, { numRuns: runs });
});

Then('the frame decoder throws only frame errors for {int} random inputs', (runs: number) => {
  const bytes = fc.uint8Array({ maxLength: 60 }).map((data) => Buffer.from(data));
  const framed = bytes.map((data) => {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(data.length);
    return Buffer.concat([length, data]);
  });
  const property = fc.property(fc.array(fc.oneof(bytes, framed)), (chunks) => {
    try {
      decodeChunks(new FrameDecoder(MAX_FRAME_BYTES), chunks);
    } catch (err) {
      assert.ok(err instanceof FrameError, String(err));
    }
  });
  fc.assert(property, { numRuns: runs });
});

Then(
  'a frame decoder with a limit of {int} bytes accepts {int} bytes and rejects {int} by length alone',
  (limit: number, accepted: number, refused: number) => {
    const quotes = 2;
    const text = 'x'.repeat(accepted - '{"t":}'.length - quotes);
    const [message] = decodeChunks(new FrameDecoder(limit), [encodeFrame({ t: text }, accepted)]);
    assert.deepEqual(message, { t: text });
    const length = Buffer.alloc(4);
    length.writeUInt32BE(refused);
    assert.throws(() => decodeChunks(new FrameDecoder(limit), [length]), FrameError);
  },
);

Given(
  'a failure detector with a timeout of {int} ms on a fake clock',
  function createDetector(this: LivenessWorld, boundMs: number) {
    this.livenessClock = FakeTimers.install();
    this.detector = new FailureDetector(boundMs);
    this.livenessChanges = [];
    this.detector.onChange(({ liveness }) => this.livenessChanges.push(liveness));
  },
);

After(function releaseLivenessClock(this: LivenessWorld) {
  this.livenessClock?.uninstall();
});

When('a frame of peer b arrives', function recordFrame(this: LivenessWorld) {
  this.detector.recordFrame('b');
});

When(
  'the clock of the failure detector advances by {int} ms',
  function advance(this: LivenessWorld, ms: number) {
    this.livenessClock!.tick(ms);
  },
);

Then(/^peer b is (alive|suspect)$/, function check(this: LivenessWorld, liveness: string) {
  assert.equal(this.detector.livenessOf('b'), liveness);
});

Then(
  'the liveness changes were {string}',
  function checkChanges(this: LivenessWorld, changes: string) {
    assert.equal(this.livenessChanges.join(', '), changes);
  },
);
