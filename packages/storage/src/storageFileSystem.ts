/** Open file of the log store. */
export interface StorageFile {
  /** Writes all of `data` at `position`. */
  write(data: Buffer, position: number): Promise<void>;
  /** Reads up to `buffer.length` bytes at `position`; returns the number read, 0 at the end. */
  read(buffer: Buffer, position: number): Promise<number>;
  /** Resolves once the content and the size are on disk. */
  sync(): Promise<void>;
  truncate(size: number): Promise<void>;
  size(): Promise<number>;
  close(): Promise<void>;
}

/** Mode in which a file is opened; `create` fails if the file exists. */
export type StorageOpenMode = 'create' | 'read' | 'write';

/** File operations of the log store; tests replace them to inject faults. */
export interface StorageFileSystem {
  /** Creates the folder and its parents if they are missing. */
  createFolder(folder: string): Promise<void>;
  /** Returns the file names in a folder. */
  list(folder: string): Promise<string[]>;
  open(file: string, mode: StorageOpenMode): Promise<StorageFile>;
  rename(from: string, to: string): Promise<void>;
  remove(file: string): Promise<void>;
  /** Resolves once created, renamed and removed file names of the folder are on disk. */
  syncFolder(folder: string): Promise<void>;
  /** Locks the folder for this process; rejects with FolderLockedError if it is already locked. */
  lock(folder: string): Promise<AsyncDisposable>;
}
