import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Base class for errors of the storage layer; the replica must stop after any of them. */
export class StorageError extends LagoongapError {
  constructor(message: string, opts: LagoongapErrorOptions = {}, name = 'StorageError') {
    super(name, message, opts);
  }
}
