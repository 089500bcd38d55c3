import { StorageError } from './storageError.js';

/** Thrown if a single entry exceeds the record size limit; nothing was written. */
export class RecordTooLargeError extends StorageError {
  constructor(bytes: number, limitBytes: number) {
    super(
      `record of ${bytes} bytes exceeds the limit of ${limitBytes} bytes`,
      { info: { bytes, limitBytes } },
      'RecordTooLargeError',
    );
  }
}
