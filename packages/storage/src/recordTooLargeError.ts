import { StorageError } from './storageError.js';

/** Raised where a single entry does not fit into a record; nothing has been written. */
export class RecordTooLargeError extends StorageError {
  constructor(bytes: number, limitBytes: number) {
    super(
      `record of ${bytes} bytes exceeds the limit of ${limitBytes} bytes`,
      { info: { bytes, limitBytes } },
      'RecordTooLargeError',
    );
  }
}
