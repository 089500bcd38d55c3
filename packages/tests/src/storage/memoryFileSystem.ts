import type {
  StorageFile,
  StorageFileSystem,
  StorageOpenMode,
} from '@lagoongap/storage/storageFileSystem.js';

import { MemoryFile, type MemoryNode } from './memoryFile.js';

/**
 * What a crash leaves: everything that was written, or only synced content with none, all or only
 * the last of the name changes since the folder was synced.
 */
export type CrashKind = 'process killed' | 'power lost' | 'names kept' | 'names reordered';

type NameChange = (names: Map<string, MemoryNode>) => void;

/** Fault of one operation. */
export interface FileFault {
  /** Number of the changing operation, counted from 1. */
  step: number;
  /** `crash` also fails everything after it. */
  code: 'crash' | 'ENOSPC' | 'EIO';
}

/** File system in memory that keeps synced and unsynced state apart and injects faults. */
export class MemoryFileSystem implements StorageFileSystem {
  /** Names of the changing operations so far. */
  readonly steps: string[] = [];
  fault: FileFault | undefined;

  private names = new Map<string, MemoryNode>();
  private durableNames = new Map<string, MemoryNode>();
  private unsyncedChanges: NameChange[] = [];
  private isCrashed = false;

  /** Returns the file system as the next process finds it. */
  afterCrash(kind: CrashKind): MemoryFileSystem {
    const next = new MemoryFileSystem();
    const names = new Map(this.durableNames);
    const keptFrom = { 'power lost': Infinity, 'names reordered': -1 }[kind as string] ?? 0;
    for (const change of this.unsyncedChanges.slice(keptFrom)) change(names);
    for (const [name, node] of names) {
      const content = Buffer.from(kind === 'process killed' ? node.content : node.synced);
      next.replace(name, content);
    }
    return next;
  }

  /** Returns the content of a file, for inspection and damage. */
  read(file: string): Buffer {
    return this.names.get(file)!.content;
  }

  /** Replaces the content of a file. */
  replace(file: string, content: Buffer): void {
    const node = { content, synced: content };
    this.names.set(file, node);
    this.durableNames.set(file, node);
  }

  /** Returns the full names of all files with the given suffix, sorted. */
  filesEndingWith(suffix: string): string[] {
    return [...this.names.keys()].filter((name) => name.endsWith(suffix)).sort();
  }

  async createFolder(): Promise<void> {
    this.takeStep('create folder');
  }

  async list(folder: string): Promise<string[]> {
    const prefix = `${folder}/`;
    const inside = [...this.names.keys()].filter((name) => name.startsWith(prefix));
    return inside.map((name) => name.slice(prefix.length));
  }

  async open(file: string, mode: StorageOpenMode): Promise<StorageFile> {
    if (mode === 'create') {
      if (this.names.has(file)) throw new Error(`EEXIST: ${file}`);
      this.takeStep('create');
      const node = { content: Buffer.alloc(0), synced: Buffer.alloc(0) };
      this.change((names) => names.set(file, node));
    }
    const node = this.names.get(file);
    if (!node) throw new Error(`ENOENT: ${file}`);
    return new MemoryFile(node, (name, onPartial) => this.takeStep(name, onPartial));
  }

  async rename(from: string, to: string): Promise<void> {
    this.takeStep('rename');
    const node = this.names.get(from)!;
    this.change((names) => {
      names.delete(from);
      names.set(to, node);
    });
  }

  async remove(file: string): Promise<void> {
    this.takeStep('remove');
    this.change((names) => names.delete(file));
  }

  async syncFolder(): Promise<void> {
    this.takeStep('sync folder');
    this.durableNames = new Map(this.names);
    this.unsyncedChanges = [];
  }

  async lock(): Promise<AsyncDisposable> {
    return { [Symbol.asyncDispose]: async () => undefined };
  }

  private change(change: NameChange): void {
    change(this.names);
    this.unsyncedChanges.push(change);
  }

  private takeStep(name: string, onPartial?: () => void): void {
    if (this.isCrashed) throw new Error('the process has crashed');
    this.steps.push(name);
    const { fault } = this;
    if (fault?.step !== this.steps.length) return;
    onPartial?.();
    this.isCrashed = fault.code === 'crash';
    throw new Error(`${fault.code}: injected at step ${fault.step} (${name})`);
  }
}
