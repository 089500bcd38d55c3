import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import { FileLogStore } from '@lagoongap/storage/fileLogStore.js';
import {
  encodeRecord,
  MAX_RECORD_BYTES,
  parseRecord,
  RECORD_HEADER_BYTES,
  RECORD_MARKER,
} from '@lagoongap/storage/recordCodec.js';
import fc from 'fast-check';

import { historyArbitrary, LogHistory } from '../../storage/logHistory.js';
import { LOG_FOLDER } from '../../storage/logStoreFixture.js';
import { MemoryFileSystem } from '../../storage/memoryFileSystem.js';

Then(
  '{int} random log histories with crashes match the log model',
  { timeout: 60_000 },
  async (runs: number) => {
    const property = fc.asyncProperty(historyArbitrary, (incarnations) =>
      new LogHistory().run(incarnations),
    );
    await fc.assert(property, { numRuns: runs });
  },
);

/** Writes values to a store and returns the values read after a restart. */
async function roundTrip(values: unknown[]): Promise<unknown[]> {
  const fileSystem = new MemoryFileSystem();
  const store = new FileLogStore({ dataFolder: LOG_FOLDER, fileSystem });
  await store.load();
  const entries = values.map((data, i) => ({ index: i + 1, term: 1, type: 'command', data }));
  await store.write({ entries: entries as Parameters<typeof store.write>[0]['entries'] });
  const next = fileSystem.afterCrash('power lost');
  const loaded = await new FileLogStore({ dataFolder: LOG_FOLDER, fileSystem: next }).load();
  return loaded.entries.map(({ data }) => data);
}

Then(
  '{int} random values are returned by the log store like by a JSON round trip',
  async (runs: number) => {
    const { value } = fc.letrec((tie) => ({
      value: fc.oneof(
        { maxDepth: 4 },
        fc.jsonValue(),
        fc.integer(),
        fc.maxSafeInteger(),
        fc.double({ noDefaultInfinity: true, noNaN: true }),
        fc.string({ unit: 'binary' }),
        fc.constant(undefined),
        fc.array(tie('value')),
        // msgpackr renames this key when decoding to protect prototypes.
        fc.dictionary(
          fc.string().filter((key) => key !== '__proto__'),
          tie('value'),
        ),
      ),
    }));
    const property = fc.asyncProperty(fc.array(value, { minLength: 1 }), async (values) => {
      const expected = JSON.parse(JSON.stringify(values));
      assert.deepEqual(JSON.parse(JSON.stringify(await roundTrip(values))), expected);
      assert.deepEqual(await roundTrip(expected), expected);
    });
    // Regression case from seed 210743254: the decoder renames this key.
    const renamedKey: unknown = JSON.parse('{"__proto__":0}');
    await fc.assert(property, { numRuns: runs, examples: [[[renamedKey, undefined]]] });
  },
);

Then(
  'the log store returns the numbers {float}, {float}, {float} and {float} unchanged',
  async (first: number, second: number, third: number, fourth: number) => {
    const given = [first, second, third, fourth];
    assert.deepEqual(await roundTrip(given), given);
  },
);

Then('the record parser rejects {int} random inputs', (runs: number) => {
  const position = { fileNumber: 3, offset: 77 };
  const header = fc.tuple(fc.nat(0xffffffff), fc.uint8Array({ maxLength: 64 }));
  const withMarker = header.map(([length, rest]) => {
    const lengthField = Buffer.alloc(4);
    lengthField.writeUInt32BE(length);
    return Buffer.concat([RECORD_MARKER, lengthField, rest]);
  });
  const bytes = fc.oneof(fc.uint8Array({ maxLength: 200 }).map(Buffer.from), withMarker);
  const property = fc.property(bytes, (input: Buffer) => {
    const parsed = parseRecord(position, input);
    assert.notEqual(parsed.type, 'record');
    if (parsed.type === 'incomplete') {
      assert.ok(parsed.needed <= RECORD_HEADER_BYTES + MAX_RECORD_BYTES);
    }
  });
  fc.assert(property, { numRuns: runs });
  const record = encodeRecord(position, Buffer.from('payload'));
  assert.equal(parseRecord(position, record).type, 'record');
  assert.equal(parseRecord({ ...position, offset: 78 }, record).type, 'invalid');
});

Then(
  'a torn segment of {int} MiB of record markers and large lengths is read within {int} seconds',
  { timeout: 60_000 },
  async (mebibytes: number, seconds: number) => {
    const fileSystem = new MemoryFileSystem();
    const store = new FileLogStore({ dataFolder: LOG_FOLDER, fileSystem });
    await store.load();
    await store.write({ hardState: { term: 5 } });
    const [file] = fileSystem.filesEndingWith('.log');
    const hostile = Buffer.concat([RECORD_MARKER, Buffer.from([0, 0x10, 0, 0])]);
    const tail = Buffer.alloc(mebibytes * 1024 * 1024, hostile);
    const next = fileSystem.afterCrash('power lost');
    next.replace(file!, Buffer.concat([next.read(file!), tail]));
    const startedAt = performance.now();
    const { hardState } = await new FileLogStore({
      dataFolder: LOG_FOLDER,
      fileSystem: next,
    }).load();
    assert.equal(hardState.term, 5);
    assert.ok(performance.now() - startedAt < seconds * 1000);
  },
);
