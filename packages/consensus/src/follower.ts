import type { LogEntry, Snapshot } from '@lagoongap/storage/logStore.js';

import { ConsensusError } from './consensusError.js';
import type { AppendMessage, AppendReplyMessage, SnapshotMessage } from './raftMessage.js';
import type { RaftState } from './raftState.js';
import { SnapshotAssembly } from './snapshotAssembly.js';

/** Handles append and snapshot messages of the current term's leader. */
export class Follower {
  private assembly: SnapshotAssembly | undefined;

  constructor(private readonly state: RaftState) {}

  receiveAppend(message: AppendMessage): void {
    const { state } = this;
    const { prevIndex, prevTerm } = message;
    const localTerm = state.log.termAt(prevIndex);
    // Entries before the compacted base are committed, so they match the log of the leader.
    const logsMatch = prevIndex < state.log.baseIndex || localTerm === prevTerm;
    if (!logsMatch) {
      this.sendAppendReply(message, 0, state.log.lastPositionUpTo(prevIndex, prevTerm));
      return;
    }
    const lastSentIndex = prevIndex + message.entries.length;
    this.appendMissing(message.entries);
    state.commitIndex = Math.max(state.commitIndex, Math.min(message.commitIndex, lastSentIndex));
    this.sendAppendReply(message, Math.max(lastSentIndex, state.log.baseIndex));
  }

  receiveSnapshot(message: SnapshotMessage): void {
    const { state } = this;
    const { snapshotIndex: index, snapshotTerm: term } = message;
    if (index <= state.commitIndex) {
      this.sendAppendReply(message, state.commitIndex);
      return;
    }
    if (state.log.termAt(index) === term) {
      state.commitIndex = index;
      this.sendAppendReply(message, index);
      return;
    }
    if (!this.assembly?.matches(message)) this.assembly = new SnapshotAssembly(message);
    this.assembly.add(message);
    this.sendSnapshotReply(message, this.assembly.offset);
    if (!this.assembly.isComplete) return;
    const { membership } = message;
    this.installSnapshot({ index, term, membership, data: this.assembly.decode() });
    this.assembly = undefined;
    this.sendAppendReply(message, index);
  }

  /** Rejects a message of an earlier term; the reply carries the current term to the sender. */
  reject(message: AppendMessage | SnapshotMessage): void {
    this.sendAppendReply(message, 0, { index: 0, term: 0 });
  }

  private sendSnapshotReply(message: SnapshotMessage, offset: number): void {
    const { state } = this;
    state.send({
      type: 'snapshot-reply',
      from: state.replicaId,
      to: message.from,
      term: state.term,
      snapshotIndex: message.snapshotIndex,
      offset,
      sentAtMs: message.sentAtMs,
    });
  }

  /** Appends the entries, starting with the first one that is missing or conflicts. */
  private appendMissing(entries: LogEntry[]): void {
    const { state } = this;
    const from = entries.findIndex(
      ({ index, term }) => index > state.log.baseIndex && state.log.termAt(index) !== term,
    );
    if (from < 0) return;
    const { index } = entries[from]!;
    if (index <= state.commitIndex) {
      throw new ConsensusError(
        `append message of the leader conflicts with committed entry ${index}`,
      );
    }
    state.appendEntries(entries.slice(from));
  }

  /** Replaces log and state machine with a snapshot, whose content is always committed. */
  private installSnapshot(snapshot: Snapshot): void {
    const { state } = this;
    const { index, term } = snapshot;
    state.log.reset({ index, term });
    state.memberships.reset(index, snapshot.membership);
    state.writes.stageSnapshot(snapshot);
    state.snapshot = snapshot;
    state.commitIndex = index;
    state.appliedIndex = index;
    state.effects.push({ type: 'restore', snapshot });
  }

  /**
   * Replies once everything up to `verifiedIndex` is durable. A heartbeat is acknowledged at once,
   * with the index that is durable already, so that a slow disk write does not end leader validity;
   * only the term must be durable.
   */
  private sendAppendReply(
    message: AppendMessage | SnapshotMessage,
    verifiedIndex: number,
    conflict?: AppendReplyMessage['conflict'],
  ): void {
    const { state } = this;
    const reply: AppendReplyMessage = {
      type: 'append-reply',
      from: state.replicaId,
      to: message.from,
      term: state.term,
      prevIndex: message.type === 'append' ? message.prevIndex : message.snapshotIndex,
      verifiedIndex,
      durableIndex: verifiedIndex,
      sentAtMs: message.sentAtMs,
      conflict,
    };
    const isHeartbeat = message.type === 'append' ? message.entries.length === 0 : !message.text;
    if (!isHeartbeat || !state.writes.isHardStateDurable) {
      state.sendWhenDurable(reply);
      return;
    }
    reply.durableIndex = Math.min(verifiedIndex, state.writes.durableIndex);
    state.send(reply);
  }
}
