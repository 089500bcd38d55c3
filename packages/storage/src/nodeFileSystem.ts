import { mkdir, open, readdir, rename, rm } from 'node:fs/promises';
import { dirname, resolve } from 'node:path';

import { FolderLock } from './folderLock.js';
import { NodeStorageFile } from './nodeStorageFile.js';
import type { StorageFile, StorageFileSystem, StorageOpenMode } from './storageFileSystem.js';

const FLAGS: Record<StorageOpenMode, string> = { create: 'wx+', read: 'r', write: 'r+' };

/** Options of a {@link NodeFileSystem}. */
export interface NodeFileSystemOptions {
  /**
   * Whether to lock folders against other processes; defaults to true. Disable it on file systems
   * without hard links, where something else must ensure that only one process uses a folder.
   */
  locksFolders?: boolean;
}

/** File system of the operating system. */
export class NodeFileSystem implements StorageFileSystem {
  private readonly opts: NodeFileSystemOptions;

  constructor(opts: NodeFileSystemOptions = {}) {
    this.opts = opts;
  }

  async createFolder(folder: string): Promise<void> {
    const first = await mkdir(folder, { recursive: true });
    if (first === undefined) return;
    const top = dirname(resolve(first));
    for (let parent = dirname(resolve(folder)); ; parent = dirname(parent)) {
      await this.syncFolder(parent);
      if (parent === top || parent === dirname(parent)) return;
    }
  }

  async list(folder: string): Promise<string[]> {
    return readdir(folder);
  }

  async open(file: string, mode: StorageOpenMode): Promise<StorageFile> {
    return new NodeStorageFile(await open(file, FLAGS[mode]));
  }

  async rename(from: string, to: string): Promise<void> {
    await rename(from, to);
  }

  async remove(file: string): Promise<void> {
    await rm(file);
  }

  async syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  async lock(folder: string): Promise<AsyncDisposable> {
    if (this.opts.locksFolders === false) return { [Symbol.asyncDispose]: async () => {} };
    return FolderLock.acquire(folder);
  }
}
