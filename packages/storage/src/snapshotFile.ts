import { toError } from '@lagoongap/model/toError.js';

import { DamagedRecordError } from './damagedRecordError.js';
import type { Snapshot } from './logStore.js';
import { decodePayload, encodePayload } from './payloadCodec.js';
import { encodePiecewise } from './piecewiseEncoder.js';
import { encodeRecord } from './recordCodec.js';
import { RecordReader, type ReadRecord } from './recordReader.js';
import type { StorageFile, StorageFileSystem } from './storageFileSystem.js';

/** Bytes of the encoded state in one record. */
const CHUNK_BYTES = 4 * 1024 * 1024;

/** First record of a snapshot file; the records after it hold the encoded state. */
interface SnapshotHead {
  index: number;
  term: number;
  membership: Snapshot['membership'];
  /** Length of the encoded state. */
  dataBytes: number;
}

/** Snapshot on disk: a head record followed by the encoded state in chunks. */
export class SnapshotFile {
  private readonly fileSystem: StorageFileSystem;
  private readonly path: string;

  constructor(fileSystem: StorageFileSystem, path: string) {
    this.fileSystem = fileSystem;
    this.path = path;
  }

  /** Writes and syncs a new file. */
  async write(snapshot: Snapshot): Promise<void> {
    const { index, term, membership } = snapshot;
    const data = await encodePiecewise(snapshot.data);
    const head: SnapshotHead = { index, term, membership, dataBytes: data.length };
    const file = await this.fileSystem.open(this.path, 'create');
    try {
      let offset = await SnapshotFile.append(file, index, 0, encodePayload(head));
      for (let start = 0; start < data.length; start += CHUNK_BYTES) {
        const chunk = data.subarray(start, start + CHUNK_BYTES);
        offset = await SnapshotFile.append(file, index, offset, chunk);
      }
      await file.sync();
    } finally {
      await file.close();
    }
  }

  /** Reads a whole snapshot; rejects with DamagedRecordError if any byte of it is damaged. */
  async read(index: number): Promise<Snapshot> {
    const file = await this.fileSystem.open(this.path, 'read');
    try {
      return await this.readRecords(file, new RecordReader(file, index), index);
    } finally {
      await file.close();
    }
  }

  private static async append(
    file: StorageFile,
    fileNumber: number,
    offset: number,
    payload: Buffer,
  ): Promise<number> {
    const record = encodeRecord({ fileNumber, offset }, payload);
    await file.write(record, offset);
    return offset + record.length;
  }

  private async readRecords(
    file: StorageFile,
    reader: RecordReader,
    index: number,
  ): Promise<Snapshot> {
    const first = await this.expectRecord(reader, 0);
    const head = this.decode(first.payload, 0) as SnapshotHead | null;
    const fileBytes = await file.size();
    if (head?.index !== index || !(head.dataBytes <= fileBytes)) {
      throw new DamagedRecordError(this.path, 0, 'the head does not fit the file');
    }
    const data = Buffer.allocUnsafe(head.dataBytes);
    let { end } = first;
    for (let filled = 0; filled < data.length;) {
      const { payload, end: recordEnd } = await this.expectRecord(reader, end);
      if (filled + payload.length > data.length) {
        throw new DamagedRecordError(this.path, end, 'more data than the head announces');
      }
      filled += payload.copy(data, filled);
      end = recordEnd;
    }
    if (end !== fileBytes) {
      throw new DamagedRecordError(this.path, end, 'more data than the head announces');
    }
    const { term, membership } = head;
    return { index, term, membership, data: this.decode(data, first.end) };
  }

  private async expectRecord(reader: RecordReader, offset: number): Promise<ReadRecord> {
    const record = await reader.next();
    if (record) return record;
    throw new DamagedRecordError(this.path, offset, reader.fault?.reason ?? 'the file ends early');
  }

  private decode(payload: Buffer, offset: number): unknown {
    try {
      return decodePayload(payload);
    } catch (err) {
      throw new DamagedRecordError(this.path, offset, 'payload is not msgpack', toError(err));
    }
  }
}
