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
import { TermRuns } from './termRuns.js';

/** Size at which a new segment is started. */
const DEFAULT_SEGMENT_BYTES = 16 * 1024 * 1024;

/** Options of a {@link FileLogStore}. */
export interface FileLogStoreOptions {
  /** Folder of this replica alone; created if it is missing. */
  dataFolder: string;
  /** A segment that has reached this size is followed by a new one. */
  segmentBytes?: number;
  /** Payload size above which a write is split into several records. */
  maxRecordBytes?: number;
  fileSystem?: StorageFileSystem;
}

interface Segment {
  sequence: number;
  /** Highest index of its entries, 0 if it has none. */
  highestIndex: number;
}

/**
 * Log of one replica in a folder: numbered segments of checksummed records, the latest snapshot,
 * the replica id and a lock. The first failure is final: the store refuses everything after it,
 * because the kernel may report a failed sync once and drop the data.
 */
export class FileLogStore implements LogStore {
  private readonly fileSystem: StorageFileSystem;
  private readonly layout: FolderLayout;
  private readonly segmentBytes: number;
  private readonly maxRecordBytes: number;
  private lock: AsyncDisposable | undefined;
  private writer: SegmentWriter | undefined;
  private segments: Segment[] = [];
  private terms = new TermRuns();
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
    if (this.isLoaded) throw new StorageUsageError('the data folder is already loaded');
    this.isLoaded = true;
    return this.run('load', () => this.loadFolder());
  }

  async writeIdentity(replicaId: string): Promise<void> {
    this.expectLoaded();
    await this.run('write of the replica id', () =>
      new IdentityFile(this.fileSystem, this.layout).write(replicaId),
    );
  }

  /** One sync, unless the data exceeds the size of a record or a new segment is started. */
  async write(write: LogWrite): Promise<void> {
    this.expectLoaded();
    this.checkEntries(write);
    const batches = encodeBatches(write, this.maxRecordBytes);
    await this.run('write of the log', async () => {
      for (const batch of batches) await this.append(batch);
    });
  }

  async saveSnapshot(snapshot: Snapshot): Promise<void> {
    this.expectLoaded();
    if (snapshot.index <= this.snapshotIndex) {
      throw new StorageUsageError(
        `snapshot ${snapshot.index} is not newer than snapshot ${this.snapshotIndex}`,
      );
    }
    await this.run('write of a snapshot', () => this.storeSnapshot(snapshot));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.failure ??= new StorageUsageError('the store is closed');
    await this.running?.catch(() => undefined);
    await this.writer?.close();
    this.writer = undefined;
    await this.lock?.[Symbol.asyncDispose]();
    this.lock = undefined;
  }

  /** Runs an operation; its failure is final. */
  private async run<T>(name: string, operation: () => Promise<T>): Promise<T> {
    if (this.failure) {
      throw new StorageFailedError(`${name} refused after an earlier failure`, this.failure);
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

  private expectLoaded(): void {
    if (!this.isLoaded) throw new StorageUsageError('the data folder is not loaded yet');
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
    const sequences = this.layout.segments(names);
    this.checkSequences(sequences, replicaId !== undefined || snapshot !== undefined);
    const lastBytes = await this.readSegments(sequences, replay);
    const isMarked = replay.finish();
    this.hardState = replay.hardState;
    this.terms = replay.terms;
    await this.openLastSegment(lastBytes, isMarked);
    await this.removeCovered();
    return { replicaId, hardState: this.hardState, snapshot, entries: replay.entries };
  }

  private async removeTemporaryFiles(): Promise<void> {
    const names = await this.fileSystem.list(this.layout.folder);
    for (const name of names) {
      // Temporary files of the lock belong to processes that try to take it at this moment.
      if (!name.endsWith(TEMPORARY_SUFFIX) || name.startsWith(LOCK_FILE)) continue;
      await this.fileSystem.remove(`${this.layout.folder}/${name}`);
    }
  }

  /**
   * Reads the newest snapshot. It was synced before it got its name, so a damaged one is an
   * error; an older one could hide entries that this replica has acknowledged.
   */
  private async readSnapshot(names: string[]): Promise<Snapshot | undefined> {
    const index = lastOf(this.layout.snapshots(names));
    if (index === undefined) return undefined;
    const path = this.layout.snapshot(index);
    const snapshot = await new SnapshotFile(this.fileSystem, path).read(index);
    this.snapshotIndex = snapshot.index;
    this.snapshotTerm = snapshot.term;
    return snapshot;
  }

  private checkSequences(sequences: number[], isUsed: boolean): void {
    if (sequences.length === 0 && isUsed) {
      throw new MissingFileError(this.layout.segment(1), 'the data folder has no segments');
    }
    sequences.forEach((sequence, position) => {
      const expected = sequences[0]! + position;
      if (sequence === expected) return;
      throw new MissingFileError(this.layout.segment(expected), 'later segments exist');
    });
  }

  /** Returns the length of the last segment up to its last whole record. */
  private async readSegments(sequences: number[], replay: LogReplay): Promise<number> {
    let lastBytes = 0;
    for (const sequence of sequences) {
      const path = this.layout.segment(sequence);
      const isLast = sequence === lastOf(sequences);
      const reader = new SegmentReader(this.fileSystem, path, sequence);
      const content = await reader.replayInto(replay, isLast);
      this.segments.push({ sequence, highestIndex: content.highestIndex });
      lastBytes = content.validBytes;
    }
    return lastBytes;
  }

  private async openLastSegment(lastBytes: number, isMarked: boolean): Promise<void> {
    const last = lastOf(this.segments);
    if (!last) {
      await this.startSegment();
      return;
    }
    const path = this.layout.segment(last.sequence);
    this.writer = await SegmentWriter.reopen(this.fileSystem, path, last.sequence, lastBytes);
    // The process died before the head of the segment was synced.
    if (lastBytes === 0) await this.writeHead(this.writer);
    else if (!isMarked) await this.startSegment();
  }

  private async startSegment(): Promise<void> {
    const sequence = (lastOf(this.segments)?.sequence ?? 0) + 1;
    await this.writer?.close();
    const path = this.layout.segment(sequence);
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
      lastIndex: this.terms.lastIndex,
    };
    await writer.append(encodePayload(head));
    await this.fileSystem.syncFolder(this.layout.folder);
  }

  private checkEntries({ entries = [] }: LogWrite): void {
    let expected = this.terms.lastIndex + 1;
    entries.forEach(({ index }, position) => {
      const isOverwrite = position === 0 && index > this.snapshotIndex && index < expected;
      if (index !== expected && !isOverwrite) {
        throw new StorageUsageError(`entry ${index} cannot follow entry ${expected - 1}`);
      }
      expected = index + 1;
    });
  }

  private async append({ payload, write }: EncodedBatch): Promise<void> {
    if (this.writer!.bytes >= this.segmentBytes) await this.startSegment();
    await this.writer!.append(payload);
    this.remember(write);
  }

  private remember({ hardState, entries = [] }: LogWrite): void {
    if (hardState) this.hardState = { ...hardState };
    for (const { index, term } of entries) this.terms.append(index, term);
    const segment = lastOf(this.segments)!;
    segment.highestIndex = Math.max(segment.highestIndex, lastOf(entries)?.index ?? 0);
  }

  private async storeSnapshot(snapshot: Snapshot): Promise<void> {
    const path = this.layout.snapshot(snapshot.index);
    const temporary = `${path}${TEMPORARY_SUFFIX}`;
    await new SnapshotFile(this.fileSystem, temporary).write(snapshot);
    await this.fileSystem.rename(temporary, path);
    await this.fileSystem.syncFolder(this.layout.folder);
    this.snapshotIndex = snapshot.index;
    this.snapshotTerm = snapshot.term;
    // A log that does not contain the last entry of the snapshot belongs to another history.
    if (this.terms.termOf(snapshot.index) === snapshot.term) {
      this.terms.forgetBefore(snapshot.index);
    } else {
      this.terms.reset(snapshot.index, snapshot.term);
    }
    await this.startSegment();
    await this.removeCovered();
  }

  /**
   * Deletes older snapshots and the segments that the snapshot covers. Segments go oldest first,
   * with a sync each, so that a crash never leaves a hole in their numbers.
   */
  private async removeCovered(): Promise<void> {
    const { folder } = this.layout;
    for (const index of this.layout.snapshots(await this.fileSystem.list(folder))) {
      if (index >= this.snapshotIndex) continue;
      await this.fileSystem.remove(this.layout.snapshot(index));
      await this.fileSystem.syncFolder(folder);
    }
    while (this.segments.length > 1 && this.segments[0]!.highestIndex <= this.snapshotIndex) {
      const { sequence } = this.segments.shift()!;
      await this.fileSystem.remove(this.layout.segment(sequence));
      await this.fileSystem.syncFolder(folder);
    }
  }
}
