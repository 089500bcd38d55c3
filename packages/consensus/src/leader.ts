import type { LogEntryType } from '@lagoongap/storage/logStore.js';

import { limitText } from './entryBatch.js';
import { isMajority, majorityValue } from './quorum.js';
import { Progress } from './progress.js';
import type { AppendReplyMessage, SnapshotReplyMessage } from './raftMessage.js';
import type { RaftState } from './raftState.js';
import type { Membership } from './replicatedLog.js';
import { SnapshotTransfer } from './snapshotTransfer.js';

/** Default of the largest number of entries in one message. */
const DEFAULT_MAX_MESSAGE_ENTRIES = 4096;

/** Estimated text of the entries of one message, so that other messages need not wait long. */
const MAX_MESSAGE_TEXT = 1_048_576;

/** Default of the largest part of a snapshot in one message. */
const DEFAULT_MAX_SNAPSHOT_TEXT = 262_144;

/** Replication by the leader of one term. */
export class Leader {
  /** Other members by replica id. */
  readonly progress = new Map<string, Progress>();
  /** Index of the no-op entry that starts the term. */
  readonly termStartIndex: number;
  /** Commit indexes one heartbeat ago and at the last one. */
  private previousCommitIndex: number;
  private lastCommitIndex: number;
  private readonly electedAtMs: number;
  private nextHeartbeatMs: number;
  /** Cached JSON text of the snapshot that is sent. */
  private snapshotText: { index: number; text: string } | undefined;

  /** Takes up leadership of the current term with a no-op entry. */
  constructor(protected readonly state: RaftState) {
    this.electedAtMs = state.nowMs;
    this.nextHeartbeatMs = state.nowMs;
    this.followMembership();
    this.termStartIndex = this.append('no-op', null);
    // Any entry before the term may be committed, whatever this replica knows so far.
    this.previousCommitIndex = this.termStartIndex;
    this.lastCommitIndex = this.termStartIndex;
  }

  /** Tells whether an entry of this term is committed; only then may the membership change. */
  get hasCommittedInTerm(): boolean {
    return this.state.commitIndex >= this.termStartIndex;
  }

  /**
   * Time until which no other leader can be elected: followers that acknowledged a message
   * refuse votes for longer after its receipt than leader validity lasts after its sending.
   */
  get validUntilMs(): number {
    return this.quorumContactMs + this.state.options.timing.leaderValidityMs;
  }

  /** Tells whether a majority of the voters has been silent for the longest election timeout. */
  get hasLostQuorum(): boolean {
    const { nowMs, options } = this.state;
    const contactMs = Math.max(this.quorumContactMs, this.electedAtMs);
    return nowMs - contactMs >= options.timing.electionMaxMs;
  }

  /** Tells whether a majority of the given voters has answered lately. */
  hasActiveMajority(voters: readonly string[]): boolean {
    const active = voters.filter((id) => id === this.state.replicaId || this.isActive(id));
    return isMajority(active.length, voters.length);
  }

  /** Tells whether a member has everything that was committed one heartbeat ago, durably. */
  isCaughtUp(replicaId: string): boolean {
    const progress = this.progress.get(replicaId);
    if (progress === undefined || progress.mode !== 'replicate') return false;
    return this.isActive(replicaId) && progress.durableIndex >= this.previousCommitIndex;
  }

  /** Returns the voter other than this replica that answers and whose log is furthest. */
  mostUpToDateVoter(): string | undefined {
    const { voters, replicaId } = this.state;
    const others = voters.filter((id) => id !== replicaId && this.isActive(id));
    return others.sort((x, y) => this.durableIndexOf(y) - this.durableIndexOf(x))[0];
  }

  /** Appends an entry of this term and returns its index. */
  append(type: LogEntryType, data: unknown): number {
    const { state } = this;
    const index = state.log.lastIndex + 1;
    state.appendEntries([{ index, term: state.term, type, data }]);
    return index;
  }

  /** Appends a membership, which is in force at once. */
  appendMembership(membership: Membership): number {
    const index = this.append('membership', membership);
    this.followMembership();
    return index;
  }

  /** Sends a heartbeat to every member if it is time. */
  tick(): void {
    const { nowMs, options, commitIndex } = this.state;
    if (nowMs < this.nextHeartbeatMs) return;
    this.nextHeartbeatMs = nowMs + options.timing.heartbeatMs;
    this.previousCommitIndex = this.lastCommitIndex;
    this.lastCommitIndex = Math.max(this.lastCommitIndex, commitIndex);
    for (const [id, progress] of this.progress) this.sendHeartbeat(id, progress);
  }

  /** Sends every entry that has not been sent. */
  replicate(): void {
    const { lastIndex } = this.state.log;
    for (const [id, progress] of this.progress) {
      while (progress.canSend && progress.nextIndex <= lastIndex) {
        if (!this.sendEntries(id, progress)) break;
      }
    }
  }

  receiveAppendReply(message: AppendReplyMessage): void {
    const progress = this.progress.get(message.from);
    if (progress === undefined) return;
    progress.acknowledge(message.sentAtMs);
    if (message.conflict === undefined) {
      progress.accept(message.verifiedIndex, message.durableIndex);
      this.advanceCommit();
      return;
    }
    const isStale =
      progress.mode === 'snapshot' ||
      message.prevIndex <= progress.durableIndex ||
      message.prevIndex >= progress.nextIndex ||
      (progress.mode === 'probe' && message.prevIndex !== progress.nextIndex - 1);
    if (isStale) return;
    const { index, term } = message.conflict;
    progress.probeFrom(this.state.log.lastPositionNotAbove(index, term).index + 1);
  }

  receiveSnapshotReply(message: SnapshotReplyMessage): void {
    const progress = this.progress.get(message.from);
    if (progress === undefined) return;
    progress.acknowledge(message.sentAtMs);
    const { transfer } = progress;
    if (transfer === undefined || transfer.snapshot.index !== message.snapshotIndex) return;
    if (transfer.offset === message.offset) return;
    transfer.offset = message.offset;
    if (transfer.offset < transfer.text.length) this.sendSnapshotPart(message.from, transfer);
  }

  /** Commits what a majority of the voters holds durably. */
  advanceCommit(): void {
    const { state } = this;
    const index = majorityValue(state.voters.map((id) => this.durableIndexOf(id)));
    if (index > state.commitIndex && this.mayCommit(index)) state.commitIndex = index;
  }

  /**
   * Entries of earlier terms commit only together with one of this term: a majority that
   * holds them does not keep a later leader from replacing them.
   */
  protected mayCommit(index: number): boolean {
    return this.state.log.termAt(index) === this.state.term;
  }

  private get quorumContactMs(): number {
    const { state } = this;
    const contacts = state.voters.map((id) =>
      id === state.replicaId ? state.nowMs : (this.progress.get(id)?.ackedSentAtMs ?? -Infinity),
    );
    return contacts.length === 0 ? -Infinity : majorityValue(contacts);
  }

  private isActive(replicaId: string): boolean {
    const { nowMs, options } = this.state;
    const ackedSentAtMs = this.progress.get(replicaId)?.ackedSentAtMs ?? -Infinity;
    return nowMs - ackedSentAtMs < options.timing.electionMinMs;
  }

  private durableIndexOf(replicaId: string): number {
    if (replicaId === this.state.replicaId) return this.state.writes.durableIndex;
    return this.progress.get(replicaId)?.durableIndex ?? 0;
  }

  private followMembership(): void {
    const { voters, learners } = this.state.memberships.current;
    const members = new Set([...voters, ...learners]);
    members.delete(this.state.replicaId);
    for (const id of this.progress.keys()) if (!members.has(id)) this.progress.delete(id);
    for (const id of members) {
      if (this.progress.has(id)) continue;
      this.progress.set(id, new Progress(this.state.log.lastIndex + 1));
    }
  }

  private sendHeartbeat(id: string, progress: Progress): void {
    if (progress.transfer !== undefined) {
      this.sendSnapshotPart(id, progress.transfer);
      return;
    }
    progress.isProbing = false;
    this.sendEntries(id, progress);
  }

  /** Sends what comes next, or an empty message; returns false if a snapshot goes first. */
  private sendEntries(id: string, progress: Progress): boolean {
    const { log, options, commitIndex, nowMs, term, replicaId } = this.state;
    const prevIndex = progress.nextIndex - 1;
    const prevTerm = log.termAt(prevIndex);
    if (prevTerm === undefined) {
      this.startSnapshot(id, progress);
      return false;
    }
    const limit = options.maxMessageEntries ?? DEFAULT_MAX_MESSAGE_ENTRIES;
    const unsent = progress.canSend ? log.slice(progress.nextIndex, limit) : [];
    const entries = limitText(unsent, MAX_MESSAGE_TEXT);
    this.state.send({
      type: 'append',
      from: replicaId,
      to: id,
      term,
      prevIndex,
      prevTerm,
      entries,
      commitIndex,
      sentAtMs: nowMs,
    });
    progress.sent(prevIndex + entries.length);
    return true;
  }

  private startSnapshot(id: string, progress: Progress): void {
    const { snapshot } = this.state;
    if (snapshot === undefined) return;
    if (this.snapshotText?.index !== snapshot.index) {
      this.snapshotText = { index: snapshot.index, text: JSON.stringify(snapshot.data ?? null) };
    }
    const transfer = new SnapshotTransfer(snapshot, this.snapshotText.text);
    progress.startTransfer(transfer);
    this.sendSnapshotPart(id, transfer);
  }

  /** Sends the part at the member's offset; it is empty once the member has everything. */
  private sendSnapshotPart(id: string, transfer: SnapshotTransfer): void {
    const { replicaId, term, nowMs, options } = this.state;
    const { snapshot, offset, text } = transfer;
    const limit = options.maxSnapshotText ?? DEFAULT_MAX_SNAPSHOT_TEXT;
    this.state.send({
      type: 'snapshot',
      from: replicaId,
      to: id,
      term,
      snapshotIndex: snapshot.index,
      snapshotTerm: snapshot.term,
      membership: snapshot.membership,
      offset,
      text: text.slice(offset, offset + limit),
      length: text.length,
      sentAtMs: nowMs,
    });
  }
}
