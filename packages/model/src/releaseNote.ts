import type { AccessKey, EndpointRule, Queue, Team } from './clusterConfig.js';

/** Entries that a release note adds or changes. */
export interface NoteEntries {
  teams: Team[];
  keys: AccessKey[];
  queues: Queue[];
  endpointRules: EndpointRule[];
}

/** Identifiers of the entries that a release note withdraws. */
export interface NoteWithdrawals {
  teams: string[];
  keys: string[];
  queues: string[];
  endpointRules: string[];
}

/** One configuration change: the entries that it adds, changes and withdraws. */
export interface ReleaseNote {
  /** Positive integer that increases with every accepted note. */
  number: number;
  /** Free text for the audit trail. */
  comment?: string;
  added: NoteEntries;
  changed: NoteEntries;
  withdrawn: NoteWithdrawals;
}

/** Validation error in a release note. */
export interface NoteFault {
  /** Line in the TOML text, starting at 1; 0 if the fault concerns the whole note. */
  line: number;
  /** Path of the entry, such as `added.teams[0].share`. */
  path: string;
  message: string;
}
