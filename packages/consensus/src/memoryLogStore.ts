import type {
  HardState,
  LogEntry,
  LogStore,
  LogWrite,
  Snapshot,
  StoredLog,
} from '@lagoongap/storage/logStore.js';

import { ConsensusError } from './consensusError.js';
import { lastOf } from './lastOf.js';

/** Options of a {@link MemoryLogStore}. */
export interface MemoryLogStoreOptions {
  /** Awaited before each operation takes effect; simulates slow or failing disks. */
  beforeWrite?: (operation: 'identity' | 'write' | 'snapshot') => Promise<void> | void;
}

/** In-memory log store for tests; it outlives its replica and can be loaded again. */
export class MemoryLogStore implements LogStore {
  private replicaId: string | undefined;
  private hardState: HardState = { term: 0 };
  private snapshot: Snapshot | undefined;
  private entries: LogEntry[] = [];
  private isBusy = false;
  private readonly beforeWrite: NonNullable<MemoryLogStoreOptions['beforeWrite']>;

  constructor(opts: MemoryLogStoreOptions = {}) {
    this.beforeWrite = opts.beforeWrite ?? (() => undefined);
  }

  async load(): Promise<StoredLog> {
    const { replicaId, hardState, snapshot, entries } = this;
    return { replicaId, hardState, snapshot, entries: [...entries] };
  }

  async writeIdentity(replicaId: string): Promise<void> {
    await this.run('identity', () => {
      this.replicaId = replicaId;
    });
  }

  async write({ hardState, entries = [] }: LogWrite): Promise<void> {
    await this.run('write', () => {
      if (hardState !== undefined) this.hardState = hardState;
      const first = entries[0];
      if (first === undefined) return;
      const lastStored = lastOf(this.entries);
      if (lastStored !== undefined && lastStored.index >= first.index) {
        this.entries = this.entries.filter((entry) => entry.index < first.index);
      }
      const lastIndex = lastOf(this.entries)?.index ?? this.snapshot?.index ?? 0;
      if (first.index !== lastIndex + 1) {
        throw new ConsensusError(`cannot append entry ${first.index} after entry ${lastIndex}`);
      }
      this.entries.push(...entries);
    });
  }

  async saveSnapshot(snapshot: Snapshot): Promise<void> {
    await this.run('snapshot', () => {
      if (snapshot.index <= (this.snapshot?.index ?? 0)) {
        throw new ConsensusError(
          `snapshot at index ${snapshot.index} is not newer than the stored one`,
        );
      }
      this.snapshot = snapshot;
      this.entries = this.entries.filter((entry) => entry.index > snapshot.index);
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    // Nothing to release.
  }

  private async run(operation: 'identity' | 'write' | 'snapshot', change: () => void) {
    if (this.isBusy) throw new ConsensusError('operations on a log store must not overlap');
    this.isBusy = true;
    try {
      await this.beforeWrite(operation);
      change();
    } finally {
      this.isBusy = false;
    }
  }
}
