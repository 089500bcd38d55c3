import { StorageError } from './storageError.js';

/** Raised where another live process holds the data folder. */
export class FolderLockedError extends StorageError {
  constructor(folder: string, pid: number) {
    super(
      `data folder ${folder} is locked by process ${pid}; stop that process or use another folder`,
      { info: { folder, pid } },
      'FolderLockedError',
    );
  }
}
