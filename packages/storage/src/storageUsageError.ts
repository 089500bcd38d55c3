import { StorageError } from './storageError.js';

/** Thrown if a caller violates the contract of the log store; nothing was written. */
export class StorageUsageError extends StorageError {
  constructor(message: string) {
    super(message, {}, 'StorageUsageError');
  }
}
