import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import { DamagedRecordError } from '@lagoongap/storage/damagedRecordError.js';

import { LogModel, type LogChange } from '../../storage/logModel.js';
import {
  createEntry,
  createSnapshot,
  type LogStoreFixture,
  type LogStoreWorld,
} from '../../storage/logStoreFixture.js';
import type { CrashKind } from '../../storage/memoryFileSystem.js';
import { flipBit, readRecordOffsets } from '../../storage/recordOffsets.js';

/** Checks that a flipped bit in any byte of the range is reported with the file and `offset`. */
async function expectDamage(
  world: LogStoreFixture,
  file: string,
  range: [number, number],
  offset?: number,
): Promise<void> {
  for (let position = range[0]; position < range[1]; position += 1) {
    await assert.rejects(world.openDamaged(file, flipBit(position)), (err) => {
      assert.ok(err instanceof DamagedRecordError, String(err));
      assert.equal(err.file, file);
      assert.ok(err.message.includes(`${file} at offset ${err.offset}`));
      if (offset !== undefined) assert.equal(err.offset, offset);
      return true;
    });
  }
}

Then(
  'a restart after truncation at any byte of the last log record returns entries {int} to {int}',
  async function checkTornTail(this: LogStoreWorld, first: number, last: number) {
    const [file] = this.logs.fileSystem.filesEndingWith('.log');
    const content = this.logs.fileSystem.read(file!);
    const offsets = readRecordOffsets(content);
    const start = offsets[offsets.length - 2]!;
    for (let size = start; size < content.length; size += 1) {
      const zeros = Buffer.alloc(content.length - size);
      const tails = [Buffer.alloc(0), zeros];
      for (const tail of tails) {
        const cut = Buffer.concat([content.subarray(0, size), tail]);
        // A record whose last bytes are zeros anyway is complete.
        if (cut.equals(content)) continue;
        const { entries } = await this.logs.openDamaged(file!, () => cut);
        assert.deepEqual(
          entries.map(({ index }) => index),
          Array.from({ length: last - first + 1 }, (_, i) => first + i),
        );
      }
    }
  },
);

Then(
  'a restart after a flipped bit in any byte of log record {int} fails with file and offset',
  async function checkFlippedBits(this: LogStoreWorld, record: number) {
    const [file] = this.logs.fileSystem.filesEndingWith('.log');
    const offsets = readRecordOffsets(this.logs.fileSystem.read(file!));
    const [start, end] = offsets.slice(record) as [number, number];
    await expectDamage(this.logs, file!, [start, end], start);
  },
);

Then(
  'a restart after a bit flip in the last record of the first segment fails with file and offset',
  async function checkFirstSegment(this: LogStoreWorld) {
    const [file] = this.logs.fileSystem.filesEndingWith('.log');
    const [start, end] = readRecordOffsets(this.logs.fileSystem.read(file!)).slice(-2);
    await expectDamage(this.logs, file!, [start!, end!], start);
  },
);

Then(
  'a restart after a flipped bit in any byte of the log snapshot fails with file and offset',
  async function checkSnapshot(this: LogStoreWorld) {
    const [file] = this.logs.fileSystem.filesEndingWith('.snap');
    await expectDamage(this.logs, file!, [0, this.logs.fileSystem.read(file!).length]);
  },
);

Then(
  'a restart without the second log segment fails with {word}',
  async function checkMissing(this: LogStoreWorld, name: string) {
    const [, second] = this.logs.fileSystem.filesEndingWith('.log');
    const copy = this.logs.fileSystem.afterCrash('process killed');
    await copy.remove(second!);
    await assert.rejects(this.logs.open(copy), { name });
  },
);

/** Saves the snapshot with a crash at `step`; returns false if there is no such step. */
async function crashSnapshot(
  world: LogStoreFixture,
  change: Extract<LogChange, { snapshot: unknown }>,
  step: number,
  crash: CrashKind,
): Promise<boolean> {
  const origin = world.fileSystem;
  const before = await world.open(origin.afterCrash('power lost'));
  const model = new LogModel(before.hardState, before.snapshot, before.entries);
  const { fileSystem, store } = world;
  fileSystem.fault = { step: fileSystem.steps.length + step, code: 'crash' };
  const hasCrashed = await store.saveSnapshot(change.snapshot).then(
    () => false,
    () => true,
  );
  const after = await world.open(fileSystem.afterCrash(crash));
  const allowed = hasCrashed ? model.statesDuring(change) : [model.apply(change)];
  assert.ok(
    allowed.some((state) => state.equals(after)),
    `step ${step} (${fileSystem.steps[fileSystem.steps.length - 1]}) left an unexpected state`,
  );
  const next = allowed.find((state) => state.equals(after))!.nextIndex;
  await world.store.write({ entries: [createEntry(next, 9)] });
  world.fileSystem = origin;
  return hasCrashed;
}

Then(
  /^a crash at any step of a log snapshot at entry (\d+) of term (\d+) with (process killed|power lost|names kept|names reordered) loses nothing$/,
  async function checkSnapshotCrash(
    this: LogStoreWorld,
    index: string,
    term: string,
    crash: CrashKind,
  ) {
    const change = { snapshot: createSnapshot(Number(index), Number(term)) };
    let step = 1;
    while (await crashSnapshot(this.logs, change, step, crash)) step += 1;
    assert.ok(step > 10, `only ${step} steps`);
  },
);
