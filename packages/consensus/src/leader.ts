import type { LogEntryType } from '@lagoongap/storage/logStore.js';

import { limitEntriesByLength } from './limitEntriesByLength.js';
import { isMajority, quorumValue } from './quorum.js';
import { Progress } from './progress.js';
import type { AppendReplyMessage, SnapshotReplyMessage } from './raftMessage.js';
import type { RaftState } from './raftState.js';
import type { Membership } from './replicatedLog.js';
import { SnapshotTransfer } from './snapshotTransfer.js';

/** Default maximum number of entries per append message. */
const DEFAULT_MAX_MESSAGE_ENTRIES = 4096;

/**
 * Limit for the estimated JSON text of the entries in one message; a longer one would delay other
 * messages on the connection.
 */
const MAX_MESSAGE_CHARS = 1_048_576;

/** Default maximum length of a snapshot chunk in one message. */
const DEFAULT_MAX_SNAPSHOT_CHUNK_CHARS = 262_144;

/** Replicates the log as the leader of one term. */
export class Leader {
  /** Replication progress of the other members by replica id. */
  readonly progress = new Map<string, Progress>();
  /** Index of the no-op entry at the start of the term. */
  readonly termStartIndex: number;
  /** Commit indexes at the heartbeat before the last one and at the last one. */
  private previousHeartbeatCommitIndex: number;
  private lastHeartbeatCommitIndex: number;
  private readonly electedAtMs: number;
  private nextHeartbeatMs: number;
  /** Cached JSON text of the snapshot that is being sent. */
  private snapshotText: { index: number; text: string } | undefined;

  /** Starts leadership of the current term by appending a no-op entry. */
  constructor(protected readonly state: RaftState) {
    this.electedAtMs = state.nowMs;
    this.nextHeartbeatMs = state.nowMs;
    this.syncProgressWithMembership();
    this.termStartIndex = this.append('no-op', null);
    // Any earlier entry may be committed, even if the commit index of this replica is lower.
    this.previousHeartbeatCommitIndex = this.termStartIndex;
    this.lastHeartbeatCommitIndex = this.termStartIndex;
  }

  /** Whether an entry of this term is committed, which is required for membership changes. */
  get hasCommittedInTerm(): boolean {
    return this.state.commitIndex >= this.termStartIndex;
  }

  /** Send time of the latest message that a majority of the voters has acknowledged. */
  get quorumContactMs(): number {
    const { state } = this;
    const contacts = state.voters.map((id) =>
      id === state.replicaId ? state.nowMs : (this.progress.get(id)?.ackedSentAtMs ?? -Infinity),
    );
    return contacts.length === 0 ? -Infinity : quorumValue(contacts);
  }

  /**
   * Time until which no other leader can be elected: a follower that acknowledges a message refuses
   * votes after receiving it for longer than leader validity lasts after the message was sent.
   */
  get validUntilMs(): number {
    return this.quorumContactMs + this.state.options.timing.leaderValidityMs;
  }

  /** Whether a majority of the voters has been unresponsive for the maximum election timeout. */
  get hasLostQuorum(): boolean {
    const { nowMs, options } = this.state;
    const contactMs = Math.max(this.quorumContactMs, this.electedAtMs);
    return nowMs - contactMs >= options.timing.electionMaxMs;
  }

  /** Returns whether a majority of the given voters has recently replied. */
  hasActiveMajority(voters: readonly string[]): boolean {
    const active = voters.filter((id) => id === this.state.replicaId || this.isActive(id));
    return isMajority(active.length, voters.length);
  }

  /**
   * Returns whether a member has durably stored everything that was committed one heartbeat ago.
   */
  isCaughtUp(replicaId: string): boolean {
    const progress = this.progress.get(replicaId);
    if (progress === undefined || progress.mode !== 'replicate') return false;
    return this.isActive(replicaId) && progress.durableIndex >= this.previousHeartbeatCommitIndex;
  }

  /** Returns the responsive voter, other than this replica, with the most up-to-date log. */
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

  /** Appends a membership, which takes effect immediately. */
  appendMembership(membership: Membership): number {
    const index = this.append('membership', membership);
    this.syncProgressWithMembership();
    return index;
  }

  /** Sends a heartbeat to every member if the heartbeat interval has elapsed. */
  tick(): void {
    const { nowMs, options, commitIndex } = this.state;
    if (nowMs < this.nextHeartbeatMs) return;
    this.nextHeartbeatMs = nowMs + options.timing.heartbeatMs;
    this.previousHeartbeatCommitIndex = this.lastHeartbeatCommitIndex;
    this.lastHeartbeatCommitIndex = Math.max(this.lastHeartbeatCommitIndex, commitIndex);
    for (const [id, progress] of this.progress) this.sendHeartbeat(id, progress);
  }

  /** Sends all unsent entries, as far as flow control permits. */
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
    progress.recordAcknowledgement(message.sentAtMs);
    if (message.conflict === undefined) {
      progress.recordMatch(message.verifiedIndex, message.durableIndex);
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
    progress.probeFrom(this.state.log.lastPositionUpTo(index, term).index + 1);
  }

  receiveSnapshotReply(message: SnapshotReplyMessage): void {
    const progress = this.progress.get(message.from);
    if (progress === undefined) return;
    progress.recordAcknowledgement(message.sentAtMs);
    const { transfer } = progress;
    if (transfer === undefined || transfer.snapshot.index !== message.snapshotIndex) return;
    if (transfer.offset === message.offset) return;
    transfer.offset = message.offset;
    if (transfer.offset < transfer.text.length) this.sendSnapshotChunk(message.from, transfer);
  }

  /** Advances the commit index to what a majority of the voters has stored durably. */
  advanceCommit(): void {
    const { state } = this;
    const index = quorumValue(state.voters.map((id) => this.durableIndexOf(id)));
    if (index > state.commitIndex && this.mayCommit(index)) state.commitIndex = index;
  }

  /**
   * Entries of earlier terms are committed only indirectly, by committing an entry of this term: a
   * later leader may still replace entries of earlier terms that a majority has stored.
   */
  protected mayCommit(index: number): boolean {
    return this.state.log.termAt(index) === this.state.term;
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

  private syncProgressWithMembership(): void {
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
      this.sendSnapshotChunk(id, progress.transfer);
      return;
    }
    progress.isProbeInFlight = false;
    this.sendEntries(id, progress);
  }

  /** Sends the next entries, or an empty append; returns false if a snapshot is needed first. */
  private sendEntries(id: string, progress: Progress): boolean {
    const { log, options, commitIndex, nowMs, term, replicaId } = this.state;
    const prevIndex = progress.nextIndex - 1;
    const prevTerm = log.termAt(prevIndex);
    if (prevTerm === undefined) {
      this.startSnapshotTransfer(id, progress);
      return false;
    }
    const limit = options.maxMessageEntries ?? DEFAULT_MAX_MESSAGE_ENTRIES;
    const unsent = progress.canSend ? log.slice(progress.nextIndex, limit) : [];
    const entries = limitEntriesByLength(unsent, MAX_MESSAGE_CHARS);
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
    progress.recordSent(prevIndex + entries.length);
    return true;
  }

  private startSnapshotTransfer(id: string, progress: Progress): void {
    const { snapshot } = this.state;
    if (snapshot === undefined) return;
    if (this.snapshotText?.index !== snapshot.index) {
      this.snapshotText = { index: snapshot.index, text: JSON.stringify(snapshot.data ?? null) };
    }
    const transfer = new SnapshotTransfer(snapshot, this.snapshotText.text);
    progress.startTransfer(transfer);
    this.sendSnapshotChunk(id, transfer);
  }

  /**
   * Sends the chunk at the member's offset; it is empty once the member has received everything.
   */
  private sendSnapshotChunk(id: string, transfer: SnapshotTransfer): void {
    const { replicaId, term, nowMs, options } = this.state;
    const { snapshot, offset, text } = transfer;
    const limit = options.maxSnapshotChunkChars ?? DEFAULT_MAX_SNAPSHOT_CHUNK_CHARS;
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
