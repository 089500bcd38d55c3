import type { AccessKey, EndpointRule, Queue, Team } from './clusterConfig.js';

/** Entries that a release note adds or changes. */
export interface NoteEntries {
  teams: Team[];
  keys: AccessKey[];
  queues: Queue[];
  endpointRules: EndpointRule[];
}

/** Identifiers that a release note withdraws. */
export interface NoteWithdrawals {
  teams: string[];
  keys: string[];
  queues: string[];
  endpointRules: string[];
}

/** A release note: everything that one change of configuration adds, changes and withdraws. */
export interface ReleaseNote {
  /** Positive integer; each accepted note has a larger one than all before it. */
  number: number;
  /** Free text for the audit trail. */
  comment?: string;
  added: NoteEntries;
  changed: NoteEntries;
  withdrawn: NoteWithdrawals;
}

/** One fault of a release note. */
export interface NoteFault {
  /** Line in the TOML text, counted from 1; 0 if it concerns the whole note. */
  line: number;
  /** Path of the entry, such as `added.teams[0].share`. */
  path: string;
  message: string;
}
