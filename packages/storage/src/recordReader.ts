import {
  parseRecord,
  RECORD_HEADER_BYTES,
  RECORD_MARKER,
  MAX_RECORD_BYTES,
} from './recordCodec.js';
import type { StorageFile } from './storageFileSystem.js';

/** Number of bytes to read at a time. */
const READ_CHUNK_BYTES = 1024 * 1024;

/** Record read from a file. */
export interface ReadRecord {
  offset: number;
  /** Offset of the first byte after the record. */
  end: number;
  /** Valid until the next record is read. */
  payload: Buffer;
}

/** Position and reason of a read that failed before the end of the file. */
export interface ReadFailure {
  offset: number;
  reason: string;
}

/** Reads the records of a file in order; buffers one chunk, or one record if that is larger. */
export class RecordReader {
  private readonly file: StorageFile;
  private readonly fileNumber: number;
  private window: Buffer = Buffer.alloc(0);
  private windowOffset = 0;
  private offset = 0;

  /** Set once a record cannot be read. */
  failure: ReadFailure | undefined;

  constructor(file: StorageFile, fileNumber: number) {
    this.file = file;
    this.fileNumber = fileNumber;
  }

  /** Returns the next record, or undefined at the end of the file or after a failure. */
  async next(): Promise<ReadRecord | undefined> {
    if (this.failure) return undefined;
    const { offset } = this;
    let bytes = await this.peek(offset, RECORD_HEADER_BYTES);
    if (bytes.length === 0) return undefined;
    let parsed = parseRecord({ fileNumber: this.fileNumber, offset }, bytes);
    if (parsed.type === 'incomplete') {
      bytes = await this.peek(offset, parsed.needed);
      parsed = parseRecord({ fileNumber: this.fileNumber, offset }, bytes);
    }
    if (parsed.type !== 'record') {
      const reason = parsed.type === 'invalid' ? parsed.reason : 'the record is truncated';
      this.failure = { offset, reason };
      return undefined;
    }
    this.offset = offset + parsed.end;
    return { offset, end: this.offset, payload: parsed.payload };
  }

  /** Returns whether a complete record exists anywhere after `from`. */
  async hasRecordAfter(from: number): Promise<boolean> {
    let position = from + 1;
    for (;;) {
      const bytes = await this.peek(position, RECORD_HEADER_BYTES);
      if (bytes.length < RECORD_HEADER_BYTES) return false;
      const found = bytes.indexOf(RECORD_MARKER);
      if (found < 0) {
        // The marker may span the end of the bytes searched so far.
        position += bytes.length - RECORD_MARKER.length + 1;
        continue;
      }
      position += found;
      if (await this.isRecordAt(position)) return true;
      position += 1;
    }
  }

  private async isRecordAt(offset: number): Promise<boolean> {
    const position = { fileNumber: this.fileNumber, offset };
    const parsed = parseRecord(position, await this.peek(offset, RECORD_HEADER_BYTES));
    if (parsed.type !== 'incomplete') return parsed.type === 'record';
    return parseRecord(position, await this.peek(offset, parsed.needed)).type === 'record';
  }

  /** Returns the buffered bytes from `offset` on; at least `needed` unless the file ends. */
  private async peek(offset: number, needed: number): Promise<Buffer> {
    const start = offset - this.windowOffset;
    const buffered =
      start >= 0 && start < this.window.length ? this.window.subarray(start) : Buffer.alloc(0);
    if (buffered.length >= needed) return buffered;
    const rest = (await this.file.size()) - offset;
    if (rest <= buffered.length) return buffered;
    const limit = RECORD_HEADER_BYTES + MAX_RECORD_BYTES;
    const wanted = Math.min(rest, Math.max(READ_CHUNK_BYTES, Math.min(needed, limit)));
    this.window = await this.fill(buffered, offset, wanted);
    this.windowOffset = offset;
    return this.window;
  }

  private async fill(buffered: Buffer, offset: number, wanted: number): Promise<Buffer> {
    const window = Buffer.allocUnsafe(wanted);
    buffered.copy(window);
    let length = Math.min(buffered.length, wanted);
    while (length < wanted) {
      const count = await this.file.read(window.subarray(length), offset + length);
      if (count === 0) break;
      length += count;
    }
    return window.subarray(0, length);
  }
}
