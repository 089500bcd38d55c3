import { StorageError } from './storageError.js';

/** Thrown by the operation that fails and by every operation after it. */
export class StorageFailedError extends StorageError {
  constructor(message: string, cause: Error) {
    super(message, { cause }, 'StorageFailedError');
  }
}
