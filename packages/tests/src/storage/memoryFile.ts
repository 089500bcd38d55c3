import type { StorageFile } from '@lagoongap/storage/storageFileSystem.js';

/** Content of a file, as written and as last synced. */
export interface MemoryInode {
  content: Buffer;
  synced: Buffer;
}

/**
 * Records a modifying operation; throws the injected fault, after running `onPartial`, if it is
 * due.
 */
export type StepRecorder = (name: string, onPartial?: () => void) => void;

/** Open file of a MemoryFileSystem. */
export class MemoryFile implements StorageFile {
  private readonly inode: MemoryInode;
  private readonly recordStep: StepRecorder;

  constructor(inode: MemoryInode, recordStep: StepRecorder) {
    this.inode = inode;
    this.recordStep = recordStep;
  }

  async write(data: Buffer, position: number): Promise<void> {
    const half = data.subarray(0, Math.floor(data.length / 2));
    this.recordStep('write', () => this.writeContent(half, position));
    this.writeContent(data, position);
  }

  async read(buffer: Buffer, position: number): Promise<number> {
    return this.inode.content.copy(buffer, 0, position);
  }

  async sync(): Promise<void> {
    this.recordStep('sync');
    this.inode.synced = Buffer.from(this.inode.content);
  }

  async truncate(size: number): Promise<void> {
    this.recordStep('truncate');
    this.inode.content = this.inode.content.subarray(0, size);
  }

  async size(): Promise<number> {
    return this.inode.content.length;
  }

  async close(): Promise<void> {
    // Nothing to release.
  }

  private writeContent(data: Buffer, position: number): void {
    const before = this.inode.content.subarray(0, position);
    const after = this.inode.content.subarray(position + data.length);
    this.inode.content = Buffer.concat([before, data, after]);
  }
}
