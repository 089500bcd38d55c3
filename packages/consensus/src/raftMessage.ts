import type { LogEntry } from '@lagoongap/storage/logStore.js';

import type { Membership } from './replicatedLog.js';

/** Fields common to all messages. */
export interface RaftMessageHeader {
  /** Replica id of the sender. */
  from: string;
  /** Replica id of the receiver; replicas with another id ignore the message. */
  to: string;
  /** Term of the sender; a pre-vote and a granted pre-vote reply carry the next term instead. */
  term: number;
}

/** Requests a pre-vote: whether a vote would be granted in the next term. */
export interface PreVoteMessage extends RaftMessageHeader {
  type: 'pre-vote';
  lastIndex: number;
  lastTerm: number;
}

/** Replies to a pre-vote request. */
export interface PreVoteReplyMessage extends RaftMessageHeader {
  type: 'pre-vote-reply';
  granted: boolean;
}

/** Requests a vote. */
export interface VoteMessage extends RaftMessageHeader {
  type: 'vote';
  lastIndex: number;
  lastTerm: number;
  /** Set if the leader transferred leadership; it has ended its own validity before. */
  isTransfer: boolean;
}

/** Replies to a vote request. */
export interface VoteReplyMessage extends RaftMessageHeader {
  type: 'vote-reply';
  granted: boolean;
  /**
   * Time since the sender last heard from a leader or was a valid leader itself, in milliseconds.
   * Absent in replies of earlier versions.
   */
  contactAgeMs?: number;
}

/** Replicates log entries; a message without entries is a heartbeat. */
export interface AppendMessage extends RaftMessageHeader {
  type: 'append';
  prevIndex: number;
  prevTerm: number;
  entries: LogEntry[];
  commitIndex: number;
  /** Send time on the clock of the leader; echoed in the reply. */
  sentAtMs: number;
}

/** Replies to an append message or to the last chunk of a snapshot. */
export interface AppendReplyMessage extends RaftMessageHeader {
  type: 'append-reply';
  /** Index before the entries of the message that is acknowledged. */
  prevIndex: number;
  /** Last index up to which the logs match, durable or not. */
  verifiedIndex: number;
  /** Last index up to which the logs match and the entries are durable. */
  durableIndex: number;
  sentAtMs: number;
  /** Set if the entry at `prevIndex` is missing or has a different term. */
  conflict?: {
    /** Last index at which the logs may match. */
    index: number;
    term: number;
  };
}

/** Sends a chunk of a snapshot. */
export interface SnapshotMessage extends RaftMessageHeader {
  type: 'snapshot';
  snapshotIndex: number;
  snapshotTerm: number;
  membership: Membership;
  /** Position of `text` in the JSON text of the state, in UTF-16 code units. */
  offset: number;
  text: string;
  /** Length of the whole JSON text. */
  length: number;
  sentAtMs: number;
}

/** Replies to a chunk of a snapshot. */
export interface SnapshotReplyMessage extends RaftMessageHeader {
  type: 'snapshot-reply';
  snapshotIndex: number;
  /** Position of the next expected chunk. */
  offset: number;
  sentAtMs: number;
}

/** Asks a voter to campaign immediately. */
export interface TimeoutNowMessage extends RaftMessageHeader {
  type: 'timeout-now';
}

/** Messages between replicas; all are JSON-safe if commands and state are JSON-safe. */
export type RaftMessage =
  | PreVoteMessage
  | PreVoteReplyMessage
  | VoteMessage
  | VoteReplyMessage
  | AppendMessage
  | AppendReplyMessage
  | SnapshotMessage
  | SnapshotReplyMessage
  | TimeoutNowMessage;
