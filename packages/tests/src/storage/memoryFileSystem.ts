import type {
  StorageFile,
  StorageFileSystem,
  StorageOpenMode,
} from '@lagoongap/storage/storageFileSystem.js';

import { MemoryFile, type MemoryInode } from './memoryFile.js';

/**
 * Result of a crash: all written data survives, or only synced content with none, all or only the
 * last of the name changes since the last folder sync.
 */
export type CrashKind = 'process killed' | 'power lost' | 'names kept' | 'names reordered';

type NameChange = (names: Map<string, MemoryInode>) => void;

/** Injected fault of one operation. */
export interface FileFault {
  /** Number of the modifying operation, counted from 1. */
  step: number;
  /** `crash` also fails all later operations. */
  code: 'crash' | 'ENOSPC' | 'EIO';
}

/** In-memory file system that distinguishes synced from unsynced state and injects faults. */
export class MemoryFileSystem implements StorageFileSystem {
  /** Names of the modifying operations so far. */
  readonly steps: string[] = [];
  fault: FileFault | undefined;

  private names = new Map<string, MemoryInode>();
  private durableNames = new Map<string, MemoryInode>();
  private unsyncedChanges: NameChange[] = [];
  private isCrashed = false;

  /** Returns the file system as the next process finds it. */
  afterCrash(kind: CrashKind): MemoryFileSystem {
    const next = new MemoryFileSystem();
    const names = new Map(this.durableNames);
    const keptFrom = { 'power lost': Infinity, 'names reordered': -1 }[kind as string] ?? 0;
    for (const change of this.unsyncedChanges.slice(keptFrom)) change(names);
    for (const [name, inode] of names) {
      const content = Buffer.from(kind === 'process killed' ? inode.content : inode.synced);
      next.replace(name, content);
    }
    return next;
  }

  /** Returns the content of a file. */
  read(file: string): Buffer {
    return this.names.get(file)!.content;
  }

  /** Replaces the content of a file. */
  replace(file: string, content: Buffer): void {
    const inode = { content, synced: content };
    this.names.set(file, inode);
    this.durableNames.set(file, inode);
  }

  /** Returns the full names of all files with the given suffix, sorted. */
  filesEndingWith(suffix: string): string[] {
    return [...this.names.keys()].filter((name) => name.endsWith(suffix)).sort();
  }

  async createFolder(): Promise<void> {
    this.recordStep('create folder');
  }

  async list(folder: string): Promise<string[]> {
    const prefix = `${folder}/`;
    const inside = [...this.names.keys()].filter((name) => name.startsWith(prefix));
    return inside.map((name) => name.slice(prefix.length));
  }

  async open(file: string, mode: StorageOpenMode): Promise<StorageFile> {
    if (mode === 'create') {
      if (this.names.has(file)) throw new Error(`EEXIST: ${file}`);
      this.recordStep('create');
      const inode = { content: Buffer.alloc(0), synced: Buffer.alloc(0) };
      this.changeNames((names) => names.set(file, inode));
    }
    const inode = this.names.get(file);
    if (!inode) throw new Error(`ENOENT: ${file}`);
    return new MemoryFile(inode, (name, onPartial) => this.recordStep(name, onPartial));
  }

  async rename(from: string, to: string): Promise<void> {
    this.recordStep('rename');
    const inode = this.names.get(from)!;
    this.changeNames((names) => {
      names.delete(from);
      names.set(to, inode);
    });
  }

  async remove(file: string): Promise<void> {
    this.recordStep('remove');
    this.changeNames((names) => names.delete(file));
  }

  async syncFolder(): Promise<void> {
    this.recordStep('sync folder');
    this.durableNames = new Map(this.names);
    this.unsyncedChanges = [];
  }

  async lock(): Promise<AsyncDisposable> {
    return { [Symbol.asyncDispose]: async () => undefined };
  }

  private changeNames(change: NameChange): void {
    change(this.names);
    this.unsyncedChanges.push(change);
  }

  private recordStep(name: string, onPartial?: () => void): void {
    if (this.isCrashed) throw new Error('the process has crashed');
    this.steps.push(name);
    const { fault } = this;
    if (fault?.step !== this.steps.length) return;
    onPartial?.();
    this.isCrashed = fault.code === 'crash';
    throw new Error(`${fault.code}: injected at step ${fault.step} (${name})`);
  }
}
