import assert from 'node:assert/strict';
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readdir, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { FileLogStore } from '@lagoongap/storage/fileLogStore.js';
import { FolderLock, LOCK_FILE } from '@lagoongap/storage/folderLock.js';

import { createEntry } from '../../storage/logStoreFixture.js';

interface FolderLockWorld {
  lockFolder?: string;
  lockHolder?: ChildProcess;
  lockClaims: PromiseSettledResult<FolderLock>[];
  lastAcknowledged: number;
}

const LOCK_HOLDER_SCRIPT = fileURLToPath(
  new URL('../../storage/holdFolderLock.js', import.meta.url),
);

const WRITER_SCRIPT = fileURLToPath(new URL('../../storage/writeUntilKilled.js', import.meta.url));

/** Runs a writer, kills it after `count` entries and returns the last acknowledged index. */
async function runWriter(folder: string, count: number): Promise<number> {
  const writer = fork(WRITER_SCRIPT, [folder]);
  const exited = once(writer, 'exit');
  let received = 0;
  let last = 0;
  writer.on('message', (index: number) => {
    last = index;
    received += 1;
    if (received === count) writer.kill('SIGKILL');
  });
  const [, signal] = await exited;
  assert.equal(signal, 'SIGKILL');
  return last;
}

async function createFolder(world: FolderLockWorld): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'lagoongap-lock-'));
  Object.assign(world, { lockFolder: folder });
  return folder;
}

After(async function removeLockFolder(this: FolderLockWorld) {
  this.lockHolder?.kill('SIGKILL');
  if (this.lockFolder) await rm(this.lockFolder, { recursive: true });
});

Given(
  'a process that holds the lock of a data folder',
  { timeout: 20_000 },
  async function startHolder(this: FolderLockWorld) {
    this.lockHolder = fork(LOCK_HOLDER_SCRIPT, [await createFolder(this)]);
    await once(this.lockHolder, 'message');
  },
);

Given(
  'a lock file with this process id and a different start time',
  async function writeStaleLock(this: FolderLockWorld) {
    const holder = { pid: process.pid, startTime: '1', bootId: 'other', token: 'stale' };
    await writeFile(join(await createFolder(this), LOCK_FILE), JSON.stringify(holder));
  },
);

When('the process that holds the lock is killed', async function kill(this: FolderLockWorld) {
  const exited = once(this.lockHolder!, 'exit');
  this.lockHolder!.kill('SIGKILL');
  await exited;
});

When(
  '{int} claimants acquire the lock concurrently',
  async function claim(this: FolderLockWorld, count) {
    const claims = Array.from({ length: count }, () => FolderLock.acquire(this.lockFolder!));
    this.lockClaims = await Promise.allSettled(claims);
  },
);

When(
  'a process that appends to a log folder is killed {int} times after {int} acknowledged entries',
  { timeout: 60_000 },
  async function killWriters(this: FolderLockWorld, times: number, count: number) {
    const folder = await createFolder(this);
    for (let i = 0; i < times; i += 1) this.lastAcknowledged = await runWriter(folder, count);
  },
);

Then(
  'the log folder contains every acknowledged entry',
  async function check(this: FolderLockWorld) {
    const store = new FileLogStore({ dataFolder: this.lockFolder! });
    const { snapshot, entries } = await store.load();
    await store[Symbol.asyncDispose]();
    const first = (snapshot?.index ?? 0) + 1;
    assert.deepEqual(
      entries,
      entries.map((_, i) => createEntry(first + i)),
    );
    assert.ok(first + entries.length - 1 >= this.lastAcknowledged);
  },
);

Then(
  'the lock is refused with FolderLockedError with the id of that process',
  async function checkRefused(this: FolderLockWorld) {
    await assert.rejects(FolderLock.acquire(this.lockFolder!), {
      name: 'FolderLockedError',
      message: new RegExp(`process ${this.lockHolder!.pid}`),
    });
  },
);

Then('the lock can be acquired and released', async function checkTaken(this: FolderLockWorld) {
  const lock = await FolderLock.acquire(this.lockFolder!);
  assert.deepEqual(await readdir(this.lockFolder!), [LOCK_FILE]);
  await lock[Symbol.asyncDispose]();
  assert.deepEqual(await readdir(this.lockFolder!), []);
});

Then('exactly one claimant holds the lock', async function checkOne(this: FolderLockWorld) {
  const taken = this.lockClaims.filter(({ status }) => status === 'fulfilled');
  assert.equal(taken.length, 1);
  for (const claim of this.lockClaims) {
    if (claim.status === 'rejected') assert.equal(claim.reason.name, 'FolderLockedError');
  }
  assert.deepEqual(await readdir(this.lockFolder!), [LOCK_FILE]);
});
