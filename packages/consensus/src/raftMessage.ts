import type { LogEntry } from '@lagoongap/storage/logStore.js';

import type { Membership } from './replicatedLog.js';

/** Part of every message. */
export interface RaftMessageHeader {
  /** Replica id of the sender. */
  from: string;
  /** Replica id of the receiver; another replica ignores the message. */
  to: string;
  /** Term of the sender; in a pre-vote and its granted reply, the term of the vote to come. */
  term: number;
}

/** Asks whether a vote would be granted. */
export interface PreVoteMessage extends RaftMessageHeader {
  type: 'pre-vote';
  lastIndex: number;
  lastTerm: number;
}

/** Answers a pre-vote. */
export interface PreVoteReplyMessage extends RaftMessageHeader {
  type: 'pre-vote-reply';
  granted: boolean;
}

/** Asks for a vote. */
export interface VoteMessage extends RaftMessageHeader {
  type: 'vote';
  lastIndex: number;
  lastTerm: number;
  /** Set if the leader handed leadership over; it has given up its validity before. */
  isTransfer: boolean;
}

/** Answers a vote. */
export interface VoteReplyMessage extends RaftMessageHeader {
  type: 'vote-reply';
  granted: boolean;
}

/** Entries or, without entries, a heartbeat. */
export interface AppendMessage extends RaftMessageHeader {
  type: 'append';
  prevIndex: number;
  prevTerm: number;
  entries: LogEntry[];
  commitIndex: number;
  /** Send time on the clock of the leader; echoed in the reply. */
  sentAtMs: number;
}

/** Answers an append, or the last chunk of a snapshot. */
export interface AppendReplyMessage extends RaftMessageHeader {
  type: 'append-reply';
  /** Index before the entries of the message that is answered. */
  prevIndex: number;
  /** Last index up to which the logs agree, durable or not. */
  verifiedIndex: number;
  /** Last index up to which the logs agree durably. */
  durableIndex: number;
  sentAtMs: number;
  /** Set if the entry before the sent ones is missing or has another term. */
  conflict?: {
    /** Last index at which the logs can agree. */
    index: number;
    term: number;
  };
}

/** Part of a snapshot. */
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

/** Answers a part of a snapshot. */
export interface SnapshotReplyMessage extends RaftMessageHeader {
  type: 'snapshot-reply';
  snapshotIndex: number;
  /** Position of the part that is expected next. */
  offset: number;
  sentAtMs: number;
}

/** Tells a voter to campaign at once. */
export interface TimeoutNowMessage extends RaftMessageHeader {
  type: 'timeout-now';
}

/** Messages between replicas; all are JSON-safe if commands and state are. */
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
