import type { LogEntry, Snapshot } from '@lagoongap/storage/logStore.js';

import { ConsensusError } from './consensusError.js';
import type { AppendMessage, AppendReplyMessage, SnapshotMessage } from './raftMessage.js';
import type { RaftState } from './raftState.js';
import { SnapshotAssembly } from './snapshotAssembly.js';

/** Log of a follower under the leader of the term. */
export class Follower {
  private assembly: SnapshotAssembly | undefined;

  constructor(private readonly state: RaftState) {}

  receiveAppend(message: AppendMessage): void {
    const { state } = this;
    const { prevIndex, prevTerm } = message;
    const knownTerm = state.log.termAt(prevIndex);
    // Entries below the base are committed, so the leader has the same ones.
    const agrees = prevIndex < state.log.baseIndex || knownTerm === prevTerm;
    if (!agrees) {
      this.reply(message, 0, state.log.lastPositionNotAbove(prevIndex, prevTerm));
      return;
    }
    const lastSentIndex = prevIndex + message.entries.length;
    this.storeNew(message.entries);
    state.commitIndex = Math.max(state.commitIndex, Math.min(message.commitIndex, lastSentIndex));
    this.reply(message, Math.max(lastSentIndex, state.log.baseIndex));
  }

  receiveSnapshot(message: SnapshotMessage): void {
    const { state } = this;
    const { snapshotIndex: index, snapshotTerm: term } = message;
    if (index <= state.commitIndex) {
      this.reply(message, state.commitIndex);
      return;
    }
    if (state.log.termAt(index) === term) {
      state.commitIndex = index;
      this.reply(message, index);
      return;
    }
    if (!this.assembly?.isOf(message)) this.assembly = new SnapshotAssembly(message);
    this.assembly.add(message);
    this.replyToPart(message, this.assembly.offset);
    if (!this.assembly.isComplete) return;
    const { membership } = message;
    this.install({ index, term, membership, data: this.assembly.takeData() });
    this.assembly = undefined;
    this.reply(message, index);
  }

  /** Answers a message of an earlier term, so that its sender learns the current one. */
  refuse(message: AppendMessage | SnapshotMessage): void {
    this.reply(message, 0, { index: 0, term: 0 });
  }

  private replyToPart(message: SnapshotMessage, offset: number): void {
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

  /** Stores the entries from the first one on that is missing or differs. */
  private storeNew(entries: LogEntry[]): void {
    const { state } = this;
    const from = entries.findIndex(
      ({ index, term }) => index > state.log.baseIndex && state.log.termAt(index) !== term,
    );
    if (from < 0) return;
    const { index } = entries[from]!;
    if (index <= state.commitIndex) {
      throw new ConsensusError(`the leader would replace the committed entry ${index}`);
    }
    state.appendEntries(entries.slice(from));
  }

  /** Replaces log and state by a snapshot, which is committed by definition. */
  private install(snapshot: Snapshot): void {
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
   * Answers when everything up to `verifiedIndex` is durable. A heartbeat is answered at once
   * with what is durable already, so that a slow write does not end leader validity; only the
   * term must be durable.
   */
  private reply(
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
