import assert from 'node:assert/strict';

import { FileLogStore } from '@lagoongap/storage/fileLogStore.js';
import type { LogEntry, Snapshot, StoredLog } from '@lagoongap/storage/logStore.js';

import { MemoryFileSystem } from './memoryFileSystem.js';

/** Data folder of the in-memory log store. */
export const LOG_FOLDER = '/data';

/** Returns an entry with small data. */
export function createEntry(index: number, term = 1, bytes = 0): LogEntry {
  return { index, term, type: 'command', data: { at: index, text: 'x'.repeat(bytes) } };
}

/** Returns a snapshot whose data contains its index. */
export function createSnapshot(index: number, term = 1): Snapshot {
  return { index, term, membership: { voters: ['a/1'], learners: [] }, data: { upTo: index } };
}

/** Scenario state shared by the steps. */
export interface LogStoreWorld {
  logs: LogStoreFixture;
}

/** Log store of a scenario with its file system. */
export class LogStoreFixture {
  fileSystem = new MemoryFileSystem();
  segmentBytes = 100_000;
  maxRecordBytes = 100_000;
  store!: FileLogStore;
  loaded!: StoredLog;
  failure: Error | undefined;

  /** Starts a store on `fileSystem`. */
  async open(fileSystem = this.fileSystem): Promise<StoredLog> {
    this.fileSystem = fileSystem;
    const { segmentBytes, maxRecordBytes } = this;
    this.store = new FileLogStore({
      dataFolder: LOG_FOLDER,
      fileSystem,
      segmentBytes,
      maxRecordBytes,
    });
    this.loaded = await this.store.load();
    return this.loaded;
  }

  /**
   * Opens a copy of the files in which `change` has altered one of them. Checks that the store can
   * then write to a new segment and be loaded again.
   */
  async openDamaged(file: string, change: (content: Buffer) => Buffer): Promise<StoredLog> {
    const copy = this.fileSystem.afterCrash('process killed');
    copy.replace(file, change(Buffer.from(copy.read(file))));
    const opts = { dataFolder: LOG_FOLDER, fileSystem: copy, segmentBytes: 1 };
    const store = new FileLogStore(opts);
    const loaded = await store.load();
    const next = createEntry((loaded.entries[loaded.entries.length - 1]?.index ?? 0) + 1);
    await store.write({ entries: [next] });
    const again = await new FileLogStore(opts).load();
    assert.deepEqual(again, { ...loaded, entries: [...loaded.entries, next] });
    return loaded;
  }
}
