import { StorageError } from './storageError.js';

/** Raised where bytes that were once synced can no longer be read back. */
export class DamagedRecordError extends StorageError {
  readonly file: string;

  /** Offset of the damaged record in bytes. */
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
