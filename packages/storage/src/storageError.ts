import { LagoongapError, type LagoongapErrorOptions } from '@lagoongap/model/lagoongapError.js';

/** Base class of the errors of the storage layer; any of them is final for the replica. */
export class StorageError extends LagoongapError {
  constructor(message: string, opts: LagoongapErrorOptions = {}, name = 'StorageError') {
    super(name, message, opts);
  }
}
