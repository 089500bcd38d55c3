import type { PendingWrite } from '@lagoongap/consensus/raftEffect.js';
import type { HardState, LogEntry, Snapshot } from '@lagoongap/storage/logStore.js';

import type { SeededRandom } from './seededRandom.js';

/** Durable data of one replica. */
export class SimulatedDisk {
  hardState: HardState = { term: 0 };
  snapshot: Snapshot | undefined;
  entries: LogEntry[] = [];

  constructor(readonly replicaId: string) {}

  get lastIndex(): number {
    return this.entries[this.entries.length - 1]?.index ?? this.snapshot?.index ?? 0;
  }

  /** Returns the term at an index, or undefined if the entry is compacted or missing. */
  termAt(index: number): number | undefined {
    if (this.snapshot !== undefined && index === this.snapshot.index) return this.snapshot.term;
    return this.entries[index - (this.snapshot?.index ?? 0) - 1]?.term;
  }

  write({ hardState, snapshot, entries = [] }: Omit<PendingWrite, 'id'>): void {
    if (hardState !== undefined) this.hardState = hardState;
    if (snapshot !== undefined) this.saveSnapshot(snapshot);
    const first = entries[0];
    if (first === undefined) return;
    this.entries = this.entries.filter(({ index }) => index < first.index);
    if (first.index !== this.lastIndex + 1) throw new Error(`gap before entry ${first.index}`);
    this.entries.push(...entries);
  }

  /** Simulates a crash during a write: none, a part or all of it is durable. */
  writeTorn(write: PendingWrite, random: SeededRandom): void {
    const { hardState, snapshot, entries = [] } = write;
    if (random.chance(0.5)) return;
    if (random.chance(0.3)) {
      this.write(write);
      return;
    }
    if (snapshot !== undefined) {
      this.write({ hardState });
      return;
    }
    const keptCount = Math.floor(random.next() * (entries.length + 1));
    this.write({ hardState, entries: entries.slice(0, keptCount) });
  }

  saveSnapshot(snapshot: Snapshot): void {
    if (snapshot.index <= (this.snapshot?.index ?? 0)) throw new Error('snapshot is outdated');
    this.snapshot = snapshot;
    this.entries = this.entries.filter(({ index }) => index > snapshot.index);
  }
}
