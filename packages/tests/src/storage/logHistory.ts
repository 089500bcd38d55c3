import assert from 'node:assert/strict';

import { FileLogStore } from '@lagoongap/storage/fileLogStore.js';
import type { StoredLog } from '@lagoongap/storage/logStore.js';
import fc from 'fast-check';

import { LogModel, type LogChange } from './logModel.js';
import { createEntry, createSnapshot, LOG_FOLDER } from './logStoreFixture.js';
import { MemoryFileSystem, type CrashKind } from './memoryFileSystem.js';

/** Generated change; indexes are relative to the log at that time. */
type GeneratedChange =
  | { type: 'append'; count: number; back: number; votes: boolean }
  | { type: 'snapshot'; ahead: number; isForeign: boolean };

/**
 * Incarnation of a process: a series of changes, and a crash during its start, during the changes
 * or after them.
 */
export interface GeneratedIncarnation {
  changes: GeneratedChange[];
  crashStep: number;
  crash: CrashKind;
}

/** Generates histories of several incarnations. */
export const historyArbitrary: fc.Arbitrary<GeneratedIncarnation[]> = fc.array(
  fc.record({
    changes: fc.array(
      fc.oneof(
        {
          weight: 4,
          arbitrary: fc.record({
            type: fc.constant('append' as const),
            count: fc.integer({ min: 0, max: 6 }),
            back: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 8 })),
            votes: fc.boolean(),
          }),
        },
        {
          weight: 1,
          arbitrary: fc.record({
            type: fc.constant('snapshot' as const),
            ahead: fc.integer({ min: 0, max: 15 }),
            isForeign: fc.boolean(),
          }),
        },
      ),
      { maxLength: 12 },
    ),
    crashStep: fc.integer({ min: 1, max: 90 }),
    crash: fc.constantFrom<CrashKind>(
      'process killed',
      'power lost',
      'names kept',
      'names reordered',
    ),
  }),
  { minLength: 1, maxLength: 6 },
);

/** Runs a generated history against a store and checks each restart against the model. */
export class LogHistory {
  private fileSystem = new MemoryFileSystem();
  /** States that the next restart may return. */
  private allowed = [LogModel.empty()];
  private term = 1;

  async run(incarnations: GeneratedIncarnation[]): Promise<void> {
    for (const incarnation of incarnations) {
      this.fileSystem.fault = { step: incarnation.crashStep, code: 'crash' };
      await this.runIncarnation(incarnation.changes);
      this.fileSystem = this.fileSystem.afterCrash(incarnation.crash);
    }
    await this.load(this.createStore());
  }

  private createStore(): FileLogStore {
    const { fileSystem } = this;
    const sizes = { segmentBytes: 250, maxRecordBytes: 150 };
    return new FileLogStore({ dataFolder: LOG_FOLDER, fileSystem, ...sizes });
  }

  private async load(store: FileLogStore): Promise<StoredLog> {
    const loaded = await store.load();
    const found = this.allowed.find((state) => state.equals(loaded));
    assert.ok(found, `unexpected state after restart: ${JSON.stringify(loaded)}`);
    this.allowed = [found];
    return loaded;
  }

  private async runIncarnation(changes: GeneratedChange[]): Promise<void> {
    const store = this.createStore();
    try {
      await this.load(store);
    } catch (err) {
      if ((err as Error).name !== 'StorageFailedError') throw err;
      return;
    }
    for (const generated of changes) {
      const change = this.resolve(generated, this.allowed[0]!);
      if (!(await this.apply(store, change))) return;
    }
  }

  /** Applies a change; returns false if the process crashed during it. */
  private async apply(store: FileLogStore, change: LogChange): Promise<boolean> {
    const model = this.allowed[0]!;
    try {
      if ('write' in change) await store.write(change.write);
      else await store.saveSnapshot(change.snapshot);
      this.allowed = [model.apply(change)];
      return true;
    } catch (err) {
      assert.equal((err as Error).name, 'StorageFailedError', String(err));
      this.allowed = model.statesDuring(change);
      return false;
    }
  }

  private resolve(generated: GeneratedChange, model: LogModel): LogChange {
    this.term += 1;
    if (generated.type === 'append') {
      const first = Math.max(model.firstIndex, model.nextIndex - generated.back);
      const entries = Array.from({ length: generated.count }, (_, i) =>
        createEntry(first + i, this.term),
      );
      const hardState = generated.votes
        ? { term: this.term, votedFor: `r${this.term}` }
        : undefined;
      return { write: { hardState, entries } };
    }
    const index = model.firstIndex + generated.ahead;
    const known = model.entries.find((entry) => entry.index === index);
    const term = known && !generated.isForeign ? known.term : this.term;
    return { snapshot: createSnapshot(index, term) };
  }
}
