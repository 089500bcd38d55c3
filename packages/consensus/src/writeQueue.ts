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
  /** Last durable index after the write has completed. */
  lastIndex: number;
  hasHardState: boolean;
  messages: RaftMessage[];
}

/**
 * Queue of changes that are not yet durable. One write is in flight at a time; changes staged
 * meanwhile form the next write.
 */
export class WriteQueue {
  private staged: StagedWrite = { entries: [], messages: [] };
  private inFlight: InFlightWrite | undefined;
  private lastId = 0;
  private lastDurableIndex: number;

  /** @param durableIndex - Last index found in the log store. */
  constructor(durableIndex: number) {
    this.lastDurableIndex = durableIndex;
  }

  /** Last durable index of the current log. */
  get durableIndex(): number {
    return this.lastDurableIndex;
  }

  /** Whether everything is durable. */
  get isIdle(): boolean {
    return this.inFlight === undefined && !this.hasStaged;
  }

  /** Whether term and vote are durable. */
  get isHardStateDurable(): boolean {
    return this.staged.hardState === undefined && !this.inFlight?.hasHardState;
  }

  stageHardState(hardState: HardState): void {
    this.staged.hardState = hardState;
  }

  /** Stages entries, replacing everything from the first one's index on. */
  stageEntries(entries: LogEntry[]): void {
    const first = entries[0];
    if (first === undefined) return;
    this.discardFrom(first.index);
    this.staged.entries.push(...entries);
  }

  /** Stages a snapshot that replaces the whole log. */
  stageSnapshot(snapshot: Snapshot): void {
    this.discardFrom(0);
    this.staged.snapshot = snapshot;
  }

  /** Defers a message until everything staged so far is durable. */
  deferMessage(message: RaftMessage): void {
    const pendingWrite = this.hasStaged ? this.staged : this.inFlight;
    pendingWrite?.messages.push(message);
  }

  /** Starts the next write; returns undefined if one is in flight or nothing is staged. */
  startWrite(): PendingWrite | undefined {
    if (this.inFlight !== undefined || !this.hasStaged) return undefined;
    const { hardState, snapshot, entries, messages } = this.staged;
    this.lastId += 1;
    const lastIndex = lastOf(entries)?.index ?? snapshot?.index ?? this.lastDurableIndex;
    this.inFlight = { id: this.lastId, lastIndex, hasHardState: hardState !== undefined, messages };
    this.staged = { entries: [], messages: [] };
    return {
      id: this.lastId,
      hardState,
      snapshot,
      entries: entries.length > 0 ? entries : undefined,
    };
  }

  /** Completes a write and returns the messages deferred until then. */
  completeWrite(id: number): RaftMessage[] {
    const completed = this.inFlight;
    if (completed === undefined || completed.id !== id) return [];
    this.inFlight = undefined;
    this.lastDurableIndex = completed.lastIndex;
    return completed.messages;
  }

  private get hasStaged(): boolean {
    const { hardState, snapshot, entries } = this.staged;
    return hardState !== undefined || snapshot !== undefined || entries.length > 0;
  }

  /** Marks entries from an index on as no longer part of the log, even if they are in the store. */
  private discardFrom(index: number): void {
    const before = Math.max(0, index - 1);
    const lastStaged = lastOf(this.staged.entries);
    if (lastStaged !== undefined && lastStaged.index >= index) {
      this.staged.entries = this.staged.entries.filter((entry) => entry.index < index);
    }
    this.lastDurableIndex = Math.min(this.lastDurableIndex, before);
    if (this.inFlight) this.inFlight.lastIndex = Math.min(this.inFlight.lastIndex, before);
  }
}
