import { NodeFileSystem } from '@lagoongap/storage/nodeFileSystem.js';
import type { StorageFile, StorageOpenMode } from '@lagoongap/storage/storageFileSystem.js';

/** File system with disabled syncs, to create large data folders quickly. */
export class UnsyncedFileSystem extends NodeFileSystem {
  override async open(file: string, mode: StorageOpenMode): Promise<StorageFile> {
    const opened = await super.open(file, mode);
    opened.sync = async () => undefined;
    return opened;
  }

  override async syncFolder(): Promise<void> {
    // Syncs are disabled.
  }
}
