import { StorageError } from './storageError.js';

/** Thrown if a file that other files of the data folder depend on is missing. */
export class MissingFileError extends StorageError {
  readonly file: string;

  constructor(file: string, reason: string) {
    super(`missing file ${file}: ${reason}`, { info: { file } }, 'MissingFileError');
    this.file = file;
  }
}
