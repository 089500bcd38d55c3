import type { StorageFile } from '@lagoongap/storage/storageFileSystem.js';

/** Content of a file as written and as synced. */
export interface MemoryNode {
  content: Buffer;
  synced: Buffer;
}

/** Counts a changing operation; raises the injected fault after running `onPartial`. */
export type StepTaker = (name: string, onPartial?: () => void) => void;

/** Open file of a MemoryFileSystem. */
export class MemoryFile implements StorageFile {
  private readonly node: MemoryNode;
  private readonly takeStep: StepTaker;

  constructor(node: MemoryNode, takeStep: StepTaker) {
    this.node = node;
    this.takeStep = takeStep;
  }

  async write(data: Buffer, position: number): Promise<void> {
    const half = data.subarray(0, Math.floor(data.length / 2));
    this.takeStep('write', () => this.put(half, position));
    this.put(data, position);
  }

  async read(buffer: Buffer, position: number): Promise<number> {
    return this.node.content.copy(buffer, 0, position);
  }

  async sync(): Promise<void> {
    this.takeStep('sync');
    this.node.synced = Buffer.from(this.node.content);
  }

  async truncate(size: number): Promise<void> {
    this.takeStep('truncate');
    this.node.content = this.node.content.subarray(0, size);
  }

  async size(): Promise<number> {
    return this.node.content.length;
  }

  async close(): Promise<void> {
    // Nothing to release.
  }

  private put(data: Buffer, position: number): void {
    const before = this.node.content.subarray(0, position);
    const after = this.node.content.subarray(position + data.length);
    this.node.content = Buffer.concat([before, data, after]);
  }
}
