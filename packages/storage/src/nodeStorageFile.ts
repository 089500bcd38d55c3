import type { FileHandle } from 'node:fs/promises';

import type { StorageFile } from './storageFileSystem.js';

/** File of the operating system. */
export class NodeStorageFile implements StorageFile {
  private readonly handle: FileHandle;

  constructor(handle: FileHandle) {
    this.handle = handle;
  }

  async write(data: Buffer, position: number): Promise<void> {
    let done = 0;
    while (done < data.length) {
      const { bytesWritten } = await this.handle.write(
        data,
        done,
        data.length - done,
        position + done,
      );
      done += bytesWritten;
    }
  }

  async read(buffer: Buffer, position: number): Promise<number> {
    const { bytesRead } = await this.handle.read(buffer, 0, buffer.length, position);
    return bytesRead;
  }

  async sync(): Promise<void> {
    // fdatasync also flushes a changed file size, so it is sufficient for recovery.
    await this.handle.datasync();
  }

  async truncate(size: number): Promise<void> {
    await this.handle.truncate(size);
  }

  async size(): Promise<number> {
    return (await this.handle.stat()).size;
  }

  async close(): Promise<void> {
    await this.handle.close();
  }
}
