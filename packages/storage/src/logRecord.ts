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

const ENTRY_TYPES: readonly string[] = ['command', 'membership', 'no-op'] satisfies LogEntryType[];

function isIndex(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isHardState(value: unknown): value is HardState {
  return isIndex((value as Partial<HardState> | null)?.term);
}

function isStoredEntry(value: unknown): value is StoredEntry {
  if (!Array.isArray(value)) return false;
  const [index, term, type] = value as unknown[];
  return isIndex(index) && isIndex(term) && ENTRY_TYPES.includes(type as string);
}

/** Tells whether decoded data has the form of a record. */
export function isLogRecord(value: unknown): value is LogRecord {
  const record = value as Partial<HeadRecord> & Partial<BatchRecord>;
  if (value === null || value === undefined) return false;
  if (record.kind === ('head' as string)) {
    const numbers = [record.snapshotIndex, record.snapshotTerm, record.lastIndex];
    return isHardState(record.hardState) && numbers.every(isIndex);
  }
  const { kind, hardState, entries = [] } = record;
  if (kind !== 'batch' || !Array.isArray(entries)) return false;
  return entries.every(isStoredEntry) && (hardState === undefined || isHardState(hardState));
}
