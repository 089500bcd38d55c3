import type { HardState, LogEntry, LogEntryType } from './logStore.js';

/** Stored form of an entry: index, term, type, data. */
export type StoredEntry = [number, number, LogEntryType, unknown];

/**
 * First record of a segment. Repeats the state from earlier segments, so that these can be deleted
 * and entries discarded by a snapshot do not reappear.
 */
export interface HeadRecord {
  kind: 'head';
  hardState: HardState;
  /** Snapshot that precedes the log; index and term are 0 if there is none. */
  snapshotIndex: number;
  snapshotTerm: number;
  /** Last index of the log at the time the segment was started. */
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

/** Converts the stored form back to an entry. */
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

/** Returns whether decoded data is a valid record. */
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
