import type { HardState, LogEntry, LogEntryType } from './logStore.js';

/** Entry as stored: index, term, type, data. */
export type StoredEntry = [number, number, LogEntryType, unknown];

/**
 * First record of a segment. Repeats what earlier segments said, so that they can be deleted and
 * so that entries dropped by a snapshot stay dropped.
 */
export interface HeadRecord {
  kind: 'head';
  hardState: HardState;
  /** Snapshot that the log continues; index and term 0 if there is none. */
  snapshotIndex: number;
  snapshotTerm: number;
  /** Last index of the log when the segment was started. */
  lastIndex: number;
}

/** Changes of one write. */
export interface BatchRecord {
  kind: 'batch';
  hardState?: HardState;
  entries?: StoredEntry[];
}

/** Record of a segment. */
export type LogRecord = HeadRecord | BatchRecord;

/** Returns the stored form of an entry. */
export function toStoredEntry(entry: LogEntry): StoredEntry {
  return [entry.index, entry.term, entry.type, entry.data];
}

/** Returns the entry of a stored form. */
export function fromStoredEntry([index, term, type, data]: StoredEntry): LogEntry {
  return { index, term, type, data };
}

/** Tells whether decoded data has the form of a record. */
export function isLogRecord(value: unknown): value is LogRecord {
  if (typeof value !== 'object' || value === null) return false;
  const { kind } = value as Partial<LogRecord>;
  return kind === 'head' || kind === 'batch';
}
