import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import {
  createEntry,
  createSnapshot,
  LOG_FOLDER,
  LogStoreFixture,
  type LogStoreWorld,
} from '../../storage/logStoreFixture.js';
import type { FileFault } from '../../storage/memoryFileSystem.js';

Given('a log store in memory', async function openStore(this: LogStoreWorld) {
  this.logs = new LogStoreFixture();
  await this.logs.open();
  await this.logs.store.writeIdentity('a/1');
});

Given('log segments of {int} bytes', async function limitSegments(this: LogStoreWorld, bytes) {
  this.logs.segmentBytes = bytes;
  await this.logs.open();
});

Given(
  'log records of at most {int} bytes',
  async function limitRecords(this: LogStoreWorld, bytes: number) {
    this.logs.maxRecordBytes = bytes;
    await this.logs.open();
  },
);

When(
  '{int} log entries are written one by one',
  async function writeSingly(this: LogStoreWorld, count: number) {
    for (let index = 1; index <= count; index += 1) {
      const hardState = { term: 1, votedFor: 'a/1' };
      await this.logs.store.write({ hardState, entries: [createEntry(index)] });
    }
  },
);

async function writeBatch(world: LogStoreFixture, count: number, bytes: number): Promise<void> {
  const next = (world.loaded.entries[world.loaded.entries.length - 1]?.index ?? 0) + 1;
  const entries = Array.from({ length: count }, (_, i) => createEntry(next + i, 1, bytes));
  world.failure = undefined;
  try {
    await world.store.write({ entries });
  } catch (err) {
    world.failure = err as Error;
  }
}

When(
  '{int} log entries are written in one write',
  async function write(this: LogStoreWorld, count) {
    await writeBatch(this.logs, count, 0);
  },
);

When(
  '{int} log entries of {int} bytes are written in one write',
  async function writeLarge(this: LogStoreWorld, count: number, bytes: number) {
    await writeBatch(this.logs, count, bytes);
  },
);

When(
  'the log from entry {int} on is replaced by entries of term {int}',
  async function overwrite(this: LogStoreWorld, index: number, term: number) {
    await this.logs.store.write({ entries: [createEntry(index, term)] });
  },
);

When(
  'a log snapshot is saved at entry {int}',
  async function saveSnapshot(this: LogStoreWorld, index: number) {
    await this.logs.store.saveSnapshot(createSnapshot(index));
  },
);

When(
  'a log snapshot of term {int} is saved at entry {int}',
  async function saveForeignSnapshot(this: LogStoreWorld, term: number, index: number) {
    await this.logs.store.saveSnapshot(createSnapshot(index, term));
  },
);

When('the log store is restarted', async function restart(this: LogStoreWorld) {
  await this.logs.open(this.logs.fileSystem.afterCrash('power lost'));
});

When(
  /^the next log (write|sync) fails with (ENOSPC|EIO)$/,
  function injectFault(this: LogStoreWorld, operation: string, code: FileFault['code']) {
    const distance = operation === 'write' ? 1 : 2;
    this.logs.fileSystem.fault = { step: this.logs.fileSystem.steps.length + distance, code };
  },
);

When('a temporary file is left in the log folder', function leaveFile(this: LogStoreWorld) {
  this.logs.fileSystem.replace(`${LOG_FOLDER}/snapshot-1.snap.tmp`, Buffer.from('partial'));
  this.logs.fileSystem = this.logs.fileSystem.afterCrash('process killed');
});

Then(
  'it returns log entries {int} to {int}',
  function checkEntries(this: LogStoreWorld, first: number, last: number) {
    const indexes = this.logs.loaded.entries.map(({ index }) => index);
    const expected = Array.from({ length: last - first + 1 }, (_, i) => first + i);
    assert.deepEqual(indexes, expected);
    assert.equal(this.logs.loaded.replicaId, 'a/1');
    for (const { index, data } of this.logs.loaded.entries) {
      assert.equal((data as { at: number }).at, index);
    }
  },
);

Then('the last returned log entry has term {int}', function checkTerm(this: LogStoreWorld, term) {
  assert.equal(this.logs.loaded.entries[this.logs.loaded.entries.length - 1]!.term, term);
});

Then('it returns no log entries', function checkNoEntries(this: LogStoreWorld) {
  assert.deepEqual(this.logs.loaded.entries, []);
});

Then('entry {int} can be appended to the log', async function append(this: LogStoreWorld, index) {
  await this.logs.store.write({ entries: [createEntry(index, 7)] });
  await this.logs.open(this.logs.fileSystem.afterCrash('power lost'));
  assert.deepEqual(this.logs.loaded.entries, [createEntry(index, 7)]);
});

Then('the log write is refused with {word}', function checkFailure(this: LogStoreWorld, name) {
  assert.equal(this.logs.failure?.name, name);
});

Then(
  'the last file operations were {string}',
  function checkSteps(this: LogStoreWorld, steps: string) {
    const expected = steps.split(', ');
    assert.deepEqual(this.logs.fileSystem.steps.slice(-expected.length), expected);
    assert.equal(this.logs.fileSystem.steps.filter((step) => step === 'sync').length, 3);
  },
);

Then(
  'appending entry {int} to the log is refused with {word}',
  async function checkRefusal(this: LogStoreWorld, index: number, name: string) {
    const steps = this.logs.fileSystem.steps.length;
    await assert.rejects(this.logs.store.write({ entries: [createEntry(index)] }), { name });
    assert.equal(this.logs.fileSystem.steps.length, steps);
  },
);

Then(
  'every later operation of the log store is refused without accessing the disk',
  async function checkFinal(this: LogStoreWorld) {
    const steps = this.logs.fileSystem.steps.length;
    const refusal = { name: 'StorageFailedError' };
    await assert.rejects(this.logs.store.write({ entries: [createEntry(6)] }), refusal);
    await assert.rejects(this.logs.store.write({ hardState: { term: 9 } }), refusal);
    await assert.rejects(this.logs.store.saveSnapshot(createSnapshot(3)), refusal);
    await assert.rejects(this.logs.store.writeIdentity('a/2'), refusal);
    assert.equal(this.logs.fileSystem.steps.length, steps);
  },
);

Then('no temporary files are left in the log folder', function checkFiles(this: LogStoreWorld) {
  assert.deepEqual(this.logs.fileSystem.filesEndingWith('.tmp'), []);
});
