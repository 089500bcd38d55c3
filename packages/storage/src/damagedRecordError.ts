import { StorageError } from './storageError.js';

/** Thrown if previously synced bytes cannot be read back. */
export class DamagedRecordError extends StorageError {
  readonly file: string;

  /** Byte offset of the damaged record. */
  readonly offset: number;

  constructor(file: string, offset: number, reason: string, cause?: Error) {
    super(
      `damaged record in ${file} at offset ${offset}: ${reason}`,
      { cause, info: { file, offset } },
      'DamagedRecordError',
    );
    this.file = file;
    this.offset = offset;
  }
}
