import { StorageError } from './storageError.js';

/** Thrown if another running process holds the lock of the data folder. */
export class FolderLockedError extends StorageError {
  constructor(folder: string, pid: number) {
    super(
      `data folder ${folder} is locked by process ${pid}; stop that process or use another folder`,
      { info: { folder, pid } },
      'FolderLockedError',
    );
  }
}
