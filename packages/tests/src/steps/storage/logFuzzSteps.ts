import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import { encodeRecord } from '@lagoongap/storage/recordCodec.js';
import { StorageError } from '@lagoongap/storage/storageError.js';
import fc from 'fast-check';

import { createEntry, createSnapshot, LogStoreFixture } from '../../storage/logStoreFixture.js';
import { readRecordOffsets } from '../../storage/recordOffsets.js';

/** Generated damage to a file; `at` is a fraction of the file size. */
interface GeneratedDamage {
  file: number;
  at: number;
  removed: number;
  inserted: Uint8Array;
  /**
   * Instead truncates the file at a record boundary and appends the bytes as a record with valid
   * checksums.
   */
  isRecord: boolean;
}

const damageArbitrary: fc.Arbitrary<GeneratedDamage> = fc.record({
  file: fc.nat(20),
  at: fc.double({ min: 0, max: 1, noNaN: true }),
  removed: fc.nat(30),
  inserted: fc.uint8Array({ minLength: 1, maxLength: 30 }),
  isRecord: fc.boolean(),
});

function applyDamage(content: Buffer, fileNumber: number, generated: GeneratedDamage): Buffer {
  const { at, removed, inserted, isRecord } = generated;
  if (isRecord) {
    const offsets = readRecordOffsets(content);
    const offset = offsets[Math.floor(at * (offsets.length - 1))]!;
    return Buffer.concat([
      content.subarray(0, offset),
      encodeRecord({ fileNumber, offset }, inserted),
    ]);
  }
  const start = Math.floor(at * content.length);
  return Buffer.concat([content.subarray(0, start), inserted, content.subarray(start + removed)]);
}

Then(
  '{int} random damages to the files of a log store cause only storage errors or a truncated log',
  { timeout: 60_000 },
  async (runs: number) => {
    const logs = new LogStoreFixture();
    logs.segmentBytes = 300;
    await logs.open();
    await logs.store.writeIdentity('a/1');
    for (let index = 1; index <= 30; index += 1) {
      await logs.store.write({ entries: [createEntry(index)] });
    }
    await logs.store.saveSnapshot(createSnapshot(5));
    const files = logs.fileSystem.filesEndingWith('');
    const property = fc.asyncProperty(damageArbitrary, async (generated) => {
      const file = files[generated.file % files.length]!;
      const fileNumber = Number(/\d+/.exec(file)?.[0] ?? 0);
      try {
        await logs.openDamaged(file, (content) => applyDamage(content, fileNumber, generated));
      } catch (err) {
        assert.ok(err instanceof StorageError, String(err));
      }
    });
    await fc.assert(property, { numRuns: runs });
  },
);
