import { encodeRecord } from './recordCodec.js';
import type { StorageFile, StorageFileSystem } from './storageFileSystem.js';

/** Appends records to the last segment. */
export class SegmentWriter {
  private readonly file: StorageFile;
  readonly sequence: number;

  /** Offset of the next record. */
  bytes: number;

  private constructor(file: StorageFile, sequence: number, bytes: number) {
    this.file = file;
    this.sequence = sequence;
    this.bytes = bytes;
  }

  /** Creates a segment file. */
  static async create(
    fileSystem: StorageFileSystem,
    path: string,
    sequence: number,
  ): Promise<SegmentWriter> {
    return new SegmentWriter(await fileSystem.open(path, 'create'), sequence, 0);
  }

  /** Opens a segment file and truncates it to `bytes`. */
  static async reopen(
    fileSystem: StorageFileSystem,
    path: string,
    sequence: number,
    bytes: number,
  ): Promise<SegmentWriter> {
    const file = await fileSystem.open(path, 'write');
    if ((await file.size()) > bytes) {
      await file.truncate(bytes);
      await file.sync();
    }
    return new SegmentWriter(file, sequence, bytes);
  }

  /** Appends one record and syncs the file. */
  async append(payload: Buffer): Promise<void> {
    const position = { fileNumber: this.sequence, offset: this.bytes };
    const record = encodeRecord(position, payload);
    await this.file.write(record, this.bytes);
    await this.file.sync();
    this.bytes += record.length;
  }

  async close(): Promise<void> {
    await this.file.close();
  }
}
