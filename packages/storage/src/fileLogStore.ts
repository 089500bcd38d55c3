import { toError } from '@lagoongap/model/toError.js';

import { encodeBatches, type EncodedBatch } from './batchEncoder.js';
import { FolderLayout, IDENTITY_FILE, TEMPORARY_SUFFIX } from './folderLayout.js';
import { LOCK_FILE } from './folderLock.js';
import { IdentityFile } from './identityFile.js';
import { lastOf } from './lastOf.js';
import type { HeadRecord } from './logRecord.js';
import { LogReplay } from './logReplay.js';
import type { HardState, LogStore, LogWrite, Snapshot, StoredLog } from './logStore.js';
import { MissingFileError } from './missingFileError.js';
import { NodeFileSystem } from './nodeFileSystem.js';
import { encodePayload } from './payloadCodec.js';
import { MAX_RECORD_BYTES } from './recordCodec.js';
import { SegmentReader } from './segmentReader.js';
import { SegmentWriter } from './segmentWriter.js';
import { SnapshotFile } from './snapshotFile.js';
import { StorageError } from './storageError.js';
import { StorageFailedError } from './storageFailedError.js';
import type { StorageFileSystem } from './storageFileSystem.js';
import { StorageUsageError } from './storageUsageError.js';
import { TermIndex } from './termIndex.js';

/** Default size at which a new segment is started. */
const DEFAULT_SEGMENT_BYTES = 16 * 1024 * 1024;

/** Options of a {@link FileLogStore}. */
export interface FileLogStoreOptions {
  /** Data folder, used by this replica only; created if it is missing. */
  dataFolder: string;
  /** Size at which a new segment is started. */
  segmentBytes?: number;
  /** Maximum payload size of a record; larger writes are split into several records. */
  maxRecordBytes?: number;
  fileSystem?: StorageFileSystem;
}

interface Segment {
  sequence: number;
  /** Highest entry index in the segment, 0 if it has no entries. */
  highestIndex: number;
}

/**
 * Stores the log of one replica in a folder: numbered segments of checksummed records, the latest
 * snapshot, the replica id and a lock. After the first failure the store rejects all operations,
 * because the kernel may report a failed sync only once and drop the data.
 */
export class FileLogStore implements LogStore {
  private readonly fileSystem: StorageFileSystem;
  private readonly layout: FolderLayout;
  private readonly segmentBytes: number;
  private readonly maxRecordBytes: number;
  private lock: AsyncDisposable | undefined;
  private writer: SegmentWriter | undefined;
  private segments: Segment[] = [];
  private termIndex = new TermIndex();
  private hardState: HardState = { term: 0 };
  private snapshotIndex = 0;
  private snapshotTerm = 0;
  private failure: Error | undefined;
  private running: Promise<unknown> | undefined;
  private isLoaded = false;

  constructor(opts: FileLogStoreOptions) {
    this.fileSystem = opts.fileSystem ?? new NodeFileSystem();
    this.layout = new FolderLayout(opts.dataFolder);
    this.segmentBytes = opts.segmentBytes ?? DEFAULT_SEGMENT_BYTES;
    this.maxRecordBytes = Math.min(opts.maxRecordBytes ?? MAX_RECORD_BYTES, MAX_RECORD_BYTES);
  }

  /**
   * Rejects with FolderLockedError, DamagedRecordError, MissingFileError or StorageFailedError.
   */
  async load(): Promise<StoredLog> {
    if (this.isLoaded) throw new StorageUsageError('the log store is already loaded');
    this.isLoaded = true;
    return this.runExclusive('load', () => this.loadFolder());
  }

  async writeIdentity(replicaId: string): Promise<void> {
    this.requireLoaded();
    await this.runExclusive('write of the replica id', () =>
      new IdentityFile(this.fileSystem, this.layout).write(replicaId),
    );
  }

  /** Syncs once, unless the data exceeds the record size limit or a new segment is started. */
  async write(write: LogWrite): Promise<void> {
    this.requireLoaded();
    this.checkEntries(write);
    const batches = encodeBatches(write, this.maxRecordBytes);
    await this.runExclusive('write of the log', async () => {
      for (const batch of batches) await this.append(batch);
    });
  }

  async saveSnapshot(snapshot: Snapshot): Promise<void> {
    this.requireLoaded();
    if (snapshot.index <= this.snapshotIndex) {
      throw new StorageUsageError(
        `snapshot ${snapshot.index} is not newer than stored snapshot ${this.snapshotIndex}`,
      );
    }
    await this.runExclusive('write of a snapshot', () => this.storeSnapshot(snapshot));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.failure ??= new StorageUsageError('the log store is closed');
    await this.running?.catch(() => undefined);
    await this.writer?.close();
    this.writer = undefined;
    await this.lock?.[Symbol.asyncDispose]();
    this.lock = undefined;
  }

  /** Runs an operation exclusively; after a failure, all later operations are rejected. */
  private async runExclusive<T>(name: string, operation: () => Promise<T>): Promise<T> {
    if (this.failure) {
      throw new StorageFailedError(`${name} rejected because of an earlier failure`, this.failure);
    }
    if (this.running) throw new StorageUsageError(`${name} overlaps another operation`);
    const running = operation();
    this.running = running;
    try {
      return await running;
    } catch (err) {
      const error = toError(err);
      this.failure ??= error;
      throw error instanceof StorageError
        ? error
        : new StorageFailedError(`${name} in ${this.layout.folder} failed`, error);
    } finally {
      this.running = undefined;
    }
  }

  private requireLoaded(): void {
    if (!this.isLoaded) throw new StorageUsageError('the log store is not loaded yet');
  }

  private async loadFolder(): Promise<StoredLog> {
    const { folder } = this.layout;
    await this.fileSystem.createFolder(folder);
    this.lock = await this.fileSystem.lock(folder);
    await this.removeTemporaryFiles();
    const names = await this.fileSystem.list(folder);
    const replicaId = names.includes(IDENTITY_FILE)
      ? await new IdentityFile(this.fileSystem, this.layout).read()
      : undefined;
    const snapshot = await this.readSnapshot(names);
    const replay = new LogReplay(snapshot);
    const sequences = this.layout.segmentSequences(names);
    this.checkSequences(sequences, replicaId !== undefined || snapshot !== undefined);
    const lastBytes = await this.readSegments(sequences, replay);
    const isSnapshotRecorded = replay.finish();
    this.hardState = replay.hardState;
    this.termIndex = replay.termIndex;
    await this.openLastSegment(lastBytes, isSnapshotRecorded);
    await this.removeObsoleteFiles();
    return { replicaId, hardState: this.hardState, snapshot, entries: replay.entries };
  }

  private async removeTemporaryFiles(): Promise<void> {
    const names = await this.fileSystem.list(this.layout.folder);
    for (const name of names) {
      // Temporary files of the lock belong to processes that are trying to acquire it.
      if (!name.endsWith(TEMPORARY_SUFFIX) || name.startsWith(LOCK_FILE)) continue;
      await this.fileSystem.remove(`${this.layout.folder}/${name}`);
    }
  }

  /**
   * Reads the newest snapshot. It was synced before it was renamed to its final name, so damage to
   * it is an error. Falling back to an older snapshot could lose entries that this replica has
   * acknowledged.
   */
  private async readSnapshot(names: string[]): Promise<Snapshot | undefined> {
    const index = lastOf(this.layout.snapshotIndexes(names));
    if (index === undefined) return undefined;
    const path = this.layout.snapshotPath(index);
    const snapshot = await new SnapshotFile(this.fileSystem, path).read(index);
    this.snapshotIndex = snapshot.index;
    this.snapshotTerm = snapshot.term;
    return snapshot;
  }

  private checkSequences(sequences: number[], hasOtherFiles: boolean): void {
    if (sequences.length === 0 && hasOtherFiles) {
      throw new MissingFileError(this.layout.segmentPath(1), 'the data folder has no segments');
    }
    sequences.forEach((sequence, position) => {
      const expected = sequences[0]! + position;
      if (sequence === expected) return;
      throw new MissingFileError(this.layout.segmentPath(expected), 'later segments exist');
    });
  }

  /** Reads all segments and returns the length of the last one up to its last complete record. */
  private async readSegments(sequences: number[], replay: LogReplay): Promise<number> {
    let lastBytes = 0;
    for (const sequence of sequences) {
      const path = this.layout.segmentPath(sequence);
      const isLast = sequence === lastOf(sequences);
      const reader = new SegmentReader(this.fileSystem, path, sequence);
      const content = await reader.replayInto(replay, isLast);
      this.segments.push({ sequence, highestIndex: content.highestIndex });
      lastBytes = content.validBytes;
    }
    return lastBytes;
  }

  private async openLastSegment(lastBytes: number, isSnapshotRecorded: boolean): Promise<void> {
    const last = lastOf(this.segments);
    if (!last) {
      await this.startSegment();
      return;
    }
    const path = this.layout.segmentPath(last.sequence);
    this.writer = await SegmentWriter.reopen(this.fileSystem, path, last.sequence, lastBytes);
    // The process died before the head record of the segment was synced.
    if (lastBytes === 0) await this.writeHead(this.writer);
    else if (!isSnapshotRecorded) await this.startSegment();
  }

  private async startSegment(): Promise<void> {
    const sequence = (lastOf(this.segments)?.sequence ?? 0) + 1;
    await this.writer?.close();
    const path = this.layout.segmentPath(sequence);
    this.writer = await SegmentWriter.create(this.fileSystem, path, sequence);
    await this.writeHead(this.writer);
    this.segments.push({ sequence, highestIndex: 0 });
  }

  private async writeHead(writer: SegmentWriter): Promise<void> {
    const head: HeadRecord = {
      kind: 'head',
      hardState: this.hardState,
      snapshotIndex: this.snapshotIndex,
      snapshotTerm: this.snapshotTerm,
      lastIndex: this.termIndex.lastIndex,
    };
    await writer.append(encodePayload(head));
    await this.fileSystem.syncFolder(this.layout.folder);
  }

  private checkEntries({ entries = [] }: LogWrite): void {
    let expected = this.termIndex.lastIndex + 1;
    entries.forEach(({ index }, position) => {
      const isOverwrite = position === 0 && index > this.snapshotIndex && index < expected;
      if (index !== expected && !isOverwrite) {
        throw new StorageUsageError(`cannot append entry ${index} after entry ${expected - 1}`);
      }
      expected = index + 1;
    });
  }

  private async append({ payload, write }: EncodedBatch): Promise<void> {
    if (this.writer!.bytes >= this.segmentBytes) await this.startSegment();
    await this.writer!.append(payload);
    this.updateCachedState(write);
  }

  private updateCachedState({ hardState, entries = [] }: LogWrite): void {
    if (hardState) this.hardState = { ...hardState };
    for (const { index, term } of entries) this.termIndex.append(index, term);
    const segment = lastOf(this.segments)!;
    segment.highestIndex = Math.max(segment.highestIndex, lastOf(entries)?.index ?? 0);
  }

  private async storeSnapshot(snapshot: Snapshot): Promise<void> {
    const path = this.layout.snapshotPath(snapshot.index);
    const temporary = `${path}${TEMPORARY_SUFFIX}`;
    await new SnapshotFile(this.fileSystem, temporary).write(snapshot);
    await this.fileSystem.rename(temporary, path);
    await this.fileSystem.syncFolder(this.layout.folder);
    this.snapshotIndex = snapshot.index;
    this.snapshotTerm = snapshot.term;
    // If the log does not contain the last entry of the snapshot, it has diverged and is discarded.
    if (this.termIndex.termAt(snapshot.index) === snapshot.term) {
      this.termIndex.dropBefore(snapshot.index);
    } else {
      this.termIndex.reset(snapshot.index, snapshot.term);
    }
    await this.startSegment();
    await this.removeObsoleteFiles();
  }

  /**
   * Deletes older snapshots and segments that the snapshot covers. Segments are deleted oldest
   * first, with a folder sync after each, so that a crash never leaves a gap in their sequence
   * numbers.
   */
  private async removeObsoleteFiles(): Promise<void> {
    const { folder } = this.layout;
    for (const index of this.layout.snapshotIndexes(await this.fileSystem.list(folder))) {
      if (index >= this.snapshotIndex) continue;
      await this.fileSystem.remove(this.layout.snapshotPath(index));
      await this.fileSystem.syncFolder(folder);
    }
    while (this.segments.length > 1 && this.segments[0]!.highestIndex <= this.snapshotIndex) {
      const { sequence } = this.segments.shift()!;
      await this.fileSystem.remove(this.layout.segmentPath(sequence));
      await this.fileSystem.syncFolder(folder);
    }
  }
}
