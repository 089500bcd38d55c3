import { toError } from '@lagoongap/model/toError.js';

import { DamagedRecordError } from './damagedRecordError.js';
import { lastOf } from './lastOf.js';
import { isLogRecord, type LogRecord } from './logRecord.js';
import type { LogReplay } from './logReplay.js';
import { decodePayload } from './payloadCodec.js';
import { RecordReader, type ReadRecord } from './recordReader.js';
import type { StorageFile, StorageFileSystem } from './storageFileSystem.js';

/** Summary of the records in a segment. */
export interface SegmentContent {
  /** Length up to the end of the last complete record, in bytes. */
  validBytes: number;
  /** Whether an incomplete record follows. */
  isTorn: boolean;
  /** Highest entry index in the segment, 0 if it has no entries. */
  highestIndex: number;
}

/** Reads a segment and replays its records. */
export class SegmentReader {
  private readonly fileSystem: StorageFileSystem;
  private readonly path: string;
  private readonly sequence: number;

  constructor(fileSystem: StorageFileSystem, path: string, sequence: number) {
    this.fileSystem = fileSystem;
    this.path = path;
    this.sequence = sequence;
  }

  /**
   * Applies all records to `replay`. Rejects with DamagedRecordError if a record is damaged, except
   * for the last record of the last segment, which may be an incomplete write.
   */
  async replayInto(replay: LogReplay, isLast: boolean): Promise<SegmentContent> {
    const file = await this.fileSystem.open(this.path, 'read');
    try {
      return await this.readAll(file, replay, isLast);
    } finally {
      await file.close();
    }
  }

  private async readAll(
    file: StorageFile,
    replay: LogReplay,
    isLast: boolean,
  ): Promise<SegmentContent> {
    const reader = new RecordReader(file, this.sequence);
    const content: SegmentContent = { validBytes: 0, isTorn: false, highestIndex: 0 };
    for (;;) {
      const record = await reader.next();
      if (!record) break;
      const decoded = this.decode(record);
      const inconsistency = replay.apply(decoded);
      if (inconsistency) throw new DamagedRecordError(this.path, record.offset, inconsistency);
      content.validBytes = record.end;
      content.highestIndex = Math.max(content.highestIndex, SegmentReader.highestIndexOf(decoded));
    }
    content.isTorn = await this.checkTail(reader, isLast);
    if (!isLast && content.validBytes === 0) {
      throw new DamagedRecordError(this.path, 0, 'the segment is empty but not the last one');
    }
    return content;
  }

  /**
   * Returns whether the segment ends with a torn record. Each record is synced before the next one
   * is written, so only the last one can be torn.
   */
  private async checkTail(reader: RecordReader, isLast: boolean): Promise<boolean> {
    const { failure } = reader;
    if (!failure) return false;
    if (!isLast) throw new DamagedRecordError(this.path, failure.offset, failure.reason);
    if (await reader.hasRecordAfter(failure.offset)) {
      const reason = `${failure.reason}; valid records follow`;
      throw new DamagedRecordError(this.path, failure.offset, reason);
    }
    return true;
  }

  private decode({ offset, payload }: ReadRecord): LogRecord {
    let value: unknown;
    try {
      value = decodePayload(payload);
    } catch (err) {
      throw new DamagedRecordError(
        this.path,
        offset,
        'the payload is not valid msgpack',
        toError(err),
      );
    }
    if (!isLogRecord(value) || (offset === 0) !== (value.kind === 'head')) {
      throw new DamagedRecordError(this.path, offset, 'unexpected kind of record');
    }
    return value;
  }

  private static highestIndexOf(record: LogRecord): number {
    if (record.kind === 'head') return 0;
    return lastOf(record.entries ?? [])?.[0] ?? 0;
  }
}
