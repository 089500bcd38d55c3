import { StorageError } from './storageError.js';

/** Raised where a file that the rest of the data folder relies on does not exist. */
export class MissingFileError extends StorageError {
  readonly file: string;

  constructor(file: string, reason: string) {
    super(`missing file ${file}: ${reason}`, { info: { file } }, 'MissingFileError');
    this.file = file;
  }
}
