import type { HardState, LogEntry, Snapshot } from '@lagoongap/storage/logStore.js';

import type { PendingWrite } from './raftEffect.js';
import type { RaftMessage } from './raftMessage.js';
import { lastOf } from './lastOf.js';

interface StagedWrite {
  hardState?: HardState;
  snapshot?: Snapshot;
  entries: LogEntry[];
  /** Messages that must not be sent before the write has completed. */
  messages: RaftMessage[];
}

interface InFlightWrite {
  id: number;
  /** Last index that is durable when the write has completed. */
  lastIndex: number;
  hasHardState: boolean;
  messages: RaftMessage[];
}

/**
 * Changes that are not durable yet. One write is in flight at a time; what is staged
 * meanwhile goes into the next one.
 */
export class WriteQueue {
  private staged: StagedWrite = { entries: [], messages: [] };
  private inFlight: InFlightWrite | undefined;
  private lastId = 0;
  private durable: number;

  /** @param durableIndex - Last index that was found in storage. */
  constructor(durableIndex: number) {
    this.durable = durableIndex;
  }

  /** Last index of this log that is durable. */
  get durableIndex(): number {
    return this.durable;
  }

  /** True if there is nothing that is not durable. */
  get isIdle(): boolean {
    return this.inFlight === undefined && !this.hasStaged;
  }

  /** True if term and vote are durable. */
  get isHardStateDurable(): boolean {
    return this.staged.hardState === undefined && !this.inFlight?.hasHardState;
  }

  stageHardState(hardState: HardState): void {
    this.staged.hardState = hardState;
  }

  /** Stages entries; the first one replaces everything from its index on. */
  stageEntries(entries: LogEntry[]): void {
    const first = entries[0];
    if (first === undefined) return;
    this.forgetFrom(first.index);
    this.staged.entries.push(...entries);
  }

  /** Stages a snapshot that replaces the whole log. */
  stageSnapshot(snapshot: Snapshot): void {
    this.forgetFrom(0);
    this.staged.snapshot = snapshot;
  }

  /** Keeps a message until everything staged so far is durable. */
  holdMessage(message: RaftMessage): void {
    const holder = this.hasStaged ? this.staged : this.inFlight;
    holder?.messages.push(message);
  }

  /** Returns what to write next, or undefined if a write is in flight or nothing is staged. */
  startWrite(): PendingWrite | undefined {
    if (this.inFlight !== undefined || !this.hasStaged) return undefined;
    const { hardState, snapshot, entries, messages } = this.staged;
    this.lastId += 1;
    const lastIndex = lastOf(entries)?.index ?? snapshot?.index ?? this.durable;
    this.inFlight = { id: this.lastId, lastIndex, hasHardState: hardState !== undefined, messages };
    this.staged = { entries: [], messages: [] };
    return {
      id: this.lastId,
      hardState,
      snapshot,
      entries: entries.length > 0 ? entries : undefined,
    };
  }

  /** Ends a write and returns the messages that waited for it. */
  completeWrite(id: number): RaftMessage[] {
    const done = this.inFlight;
    if (done === undefined || done.id !== id) return [];
    this.inFlight = undefined;
    this.durable = done.lastIndex;
    return done.messages;
  }

  private get hasStaged(): boolean {
    const { hardState, snapshot, entries } = this.staged;
    return hardState !== undefined || snapshot !== undefined || entries.length > 0;
  }

  /** Entries from an index on are no longer part of the log, whatever storage holds. */
  private forgetFrom(index: number): void {
    const before = Math.max(0, index - 1);
    const lastStaged = lastOf(this.staged.entries);
    if (lastStaged !== undefined && lastStaged.index >= index) {
      this.staged.entries = this.staged.entries.filter((entry) => entry.index < index);
    }
    this.durable = Math.min(this.durable, before);
    if (this.inFlight) this.inFlight.lastIndex = Math.min(this.inFlight.lastIndex, before);
  }
}
