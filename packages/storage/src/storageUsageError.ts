import { StorageError } from './storageError.js';

/** Raised where a caller breaks the contract of the store; nothing has been written. */
export class StorageUsageError extends StorageError {
  constructor(message: string) {
    super(message, {}, 'StorageUsageError');
  }
}
