import { toError } from '@lagoongap/model/toError.js';

import { DamagedRecordError } from './damagedRecordError.js';
import { lastOf } from './lastOf.js';
import { isLogRecord, type LogRecord } from './logRecord.js';
import type { LogReplay } from './logReplay.js';
import { decodePayload } from './payloadCodec.js';
import { RecordReader, type ReadRecord } from './recordReader.js';
import type { StorageFile, StorageFileSystem } from './storageFileSystem.js';

/** What a segment holds. */
export interface SegmentContent {
  /** Bytes up to the end of the last whole record. */
  validBytes: number;
  /** Whether bytes of an unfinished record follow. */
  isTorn: boolean;
  /** Highest index of its entries, 0 if it has none. */
  highestIndex: number;
}

/** Reads a segment into a replay of the log. */
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
   * Applies all records to `replay`. Rejects with DamagedRecordError if a record is damaged,
   * except for the last record of the last segment, which may be an unfinished write.
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
      const fault = replay.apply(decoded);
      if (fault) throw new DamagedRecordError(this.path, record.offset, fault);
      content.validBytes = record.end;
      content.highestIndex = Math.max(content.highestIndex, SegmentReader.highestIndexOf(decoded));
    }
    content.isTorn = await this.checkTail(reader, isLast);
    if (!isLast && content.validBytes === 0) {
      throw new DamagedRecordError(this.path, 0, 'the segment is empty but is not the last one');
    }
    return content;
  }

  /** Each write is one record and is synced before the next, so only the last can be torn. */
  private async checkTail(reader: RecordReader, isLast: boolean): Promise<boolean> {
    const { fault } = reader;
    if (!fault) return false;
    if (!isLast) throw new DamagedRecordError(this.path, fault.offset, fault.reason);
    if (await reader.hasRecordAfter(fault.offset)) {
      const reason = `${fault.reason}; valid records follow`;
      throw new DamagedRecordError(this.path, fault.offset, reason);
    }
    return true;
  }

  private decode({ offset, payload }: ReadRecord): LogRecord {
    let value: unknown;
    try {
      value = decodePayload(payload);
    } catch (err) {
      throw new DamagedRecordError(this.path, offset, 'payload is not msgpack', toError(err));
    }
    if (!isLogRecord(value) || (offset === 0) !== (value.kind === 'head')) {
      throw new DamagedRecordError(this.path, offset, 'record of an unexpected kind');
    }
    return value;
  }

  private static highestIndexOf(record: LogRecord): number {
    if (record.kind === 'head') return 0;
    return lastOf(record.entries ?? [])?.[0] ?? 0;
  }
}
