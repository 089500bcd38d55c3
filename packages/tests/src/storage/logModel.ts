import { isDeepStrictEqual } from 'node:util';

import type {
  HardState,
  LogEntry,
  LogWrite,
  Snapshot,
  StoredLog,
} from '@lagoongap/storage/logStore.js';

/** Change of a log: a write or a snapshot. */
export type LogChange = { write: LogWrite } | { snapshot: Snapshot };

/** Model of the state that a log store must return after a series of changes. */
export class LogModel {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  readonly entries: LogEntry[];

  constructor(hardState: HardState, snapshot: Snapshot | undefined, entries: LogEntry[]) {
    this.hardState = hardState;
    this.snapshot = snapshot;
    this.entries = entries;
  }

  /** State of a new store. */
  static empty(): LogModel {
    return new LogModel({ term: 0 }, undefined, []);
  }

  get firstIndex(): number {
    return (this.snapshot?.index ?? 0) + 1;
  }

  get nextIndex(): number {
    return this.firstIndex + this.entries.length;
  }

  apply(change: LogChange): LogModel {
    if ('snapshot' in change) return this.applySnapshot(change.snapshot);
    const { hardState = this.hardState, entries = [] } = change.write;
    const first = entries[0]?.index ?? this.nextIndex;
    const kept = this.entries.slice(0, first - this.firstIndex);
    return new LogModel(hardState, this.snapshot, [...kept, ...entries]);
  }

  /** Returns the states that a crash during `change` may leave; a write may keep any prefix. */
  statesDuring(change: LogChange): LogModel[] {
    if ('snapshot' in change) return [this, this.apply(change)];
    const { hardState, entries = [] } = change.write;
    const prefixes = entries.map((entry, position) => entries.slice(0, position + 1));
    const partial = [[], ...prefixes].map((prefix) =>
      this.apply({ write: { hardState, entries: prefix } }),
    );
    return [this, ...partial];
  }

  equals({ hardState, snapshot, entries }: StoredLog): boolean {
    const stored = { hardState, snapshot, entries };
    const { hardState: own, snapshot: ownSnapshot, entries: ownEntries } = this;
    return isDeepStrictEqual(stored, {
      hardState: own,
      snapshot: ownSnapshot,
      entries: ownEntries,
    });
  }

  private applySnapshot(snapshot: Snapshot): LogModel {
    const known = this.entries.find(({ index }) => index === snapshot.index);
    const isSameHistory = known?.term === snapshot.term;
    const rest = isSameHistory ? this.entries.filter(({ index }) => index > snapshot.index) : [];
    return new LogModel(this.hardState, snapshot, rest);
  }
}
