import { toError } from '@lagoongap/model/toError.js';

import { DamagedRecordError } from './damagedRecordError.js';
import type { Snapshot } from './logStore.js';
import { decodePayload, encodePayload } from './payloadCodec.js';
import { encodeIncrementally } from './incrementalEncoder.js';
import { encodeRecord } from './recordCodec.js';
import { RecordReader, type ReadRecord } from './recordReader.js';
import type { StorageFile, StorageFileSystem } from './storageFileSystem.js';

/** Maximum size of the encoded state per record. */
const CHUNK_BYTES = 4 * 1024 * 1024;

/** First record of a snapshot file; the following records contain the encoded state. */
interface SnapshotHeader {
  index: number;
  term: number;
  membership: Snapshot['membership'];
  /** Length of the encoded state. */
  dataBytes: number;
}

/** Reads and writes a snapshot file: a header record followed by the encoded state in chunks. */
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
    const data = await encodeIncrementally(snapshot.data);
    const header: SnapshotHeader = { index, term, membership, dataBytes: data.length };
    const file = await this.fileSystem.open(this.path, 'create');
    try {
      let offset = await SnapshotFile.append(file, index, 0, encodePayload(header));
      for (let start = 0; start < data.length; start += CHUNK_BYTES) {
        const chunk = data.subarray(start, start + CHUNK_BYTES);
        offset = await SnapshotFile.append(file, index, offset, chunk);
      }
      await file.sync();
    } finally {
      await file.close();
    }
  }

  /** Reads and verifies a snapshot; rejects with DamagedRecordError if any byte is damaged. */
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
    const header = this.decode(first.payload, 0) as SnapshotHeader | null;
    const fileBytes = await file.size();
    if (header?.index !== index || !(header.dataBytes <= fileBytes)) {
      throw new DamagedRecordError(this.path, 0, 'the header does not match the file');
    }
    const data = Buffer.allocUnsafe(header.dataBytes);
    let { end } = first;
    for (let filled = 0; filled < data.length;) {
      const { payload, end: recordEnd } = await this.expectRecord(reader, end);
      if (filled + payload.length > data.length) {
        throw new DamagedRecordError(this.path, end, 'more data than stated in the header');
      }
      filled += payload.copy(data, filled);
      end = recordEnd;
    }
    if (end !== fileBytes) {
      throw new DamagedRecordError(this.path, end, 'more data than stated in the header');
    }
    const { term, membership } = header;
    return { index, term, membership, data: this.decode(data, first.end) };
  }

  private async expectRecord(reader: RecordReader, offset: number): Promise<ReadRecord> {
    const record = await reader.next();
    if (record) return record;
    throw new DamagedRecordError(
      this.path,
      offset,
      reader.failure?.reason ?? 'the file is truncated',
    );
  }

  private decode(payload: Buffer, offset: number): unknown {
    try {
      return decodePayload(payload);
    } catch (err) {
      throw new DamagedRecordError(
        this.path,
        offset,
        'the payload is not valid msgpack',
        toError(err),
      );
    }
  }
}
