import type { LogStore, Snapshot } from '@lagoongap/storage/logStore.js';

import type { PendingWrite } from './raftEffect.js';

/**
 * Runs the operations of a log store sequentially. Stops at the first error, because a store must
 * not be used after a failure.
 */
export class StoreQueue {
  private tail: Promise<void> = Promise.resolve();
  private isStopped = false;

  constructor(
    private readonly store: LogStore,
    private readonly onError: (error: unknown) => void,
  ) {}

  /** Executes a write of the core, then calls `onDone`. */
  write({ hardState, snapshot, entries }: PendingWrite, onDone: () => void): void {
    this.enqueue(async () => {
      if (snapshot === undefined) {
        await this.store.write({ hardState, entries });
        return;
      }
      if (hardState !== undefined) await this.store.write({ hardState });
      await this.store.saveSnapshot(snapshot);
      if (entries !== undefined) await this.store.write({ entries });
    }, onDone);
  }

  /** Stores a snapshot, then calls `onDone`. */
  saveSnapshot(snapshot: Snapshot, onDone: () => void): void {
    this.enqueue(() => this.store.saveSnapshot(snapshot), onDone);
  }

  /** Discards operations that have not started. */
  stop(): void {
    this.isStopped = true;
  }

  /** Resolves once no operation is running. */
  async whenIdle(): Promise<void> {
    await this.tail;
  }

  private enqueue(operation: () => Promise<void>, onDone: () => void): void {
    this.tail = this.tail.then(async () => {
      if (this.isStopped) return;
      try {
        await operation();
        if (!this.isStopped) onDone();
      } catch (err) {
        this.isStopped = true;
        this.onError(err);
      }
    });
  }
}
