import type { BatchRecord } from './logRecord.js';
import { toStoredEntry } from './logRecord.js';
import type { HardState, LogEntry, LogWrite } from './logStore.js';
import { encodePayload } from './payloadCodec.js';
import { MAX_RECORD_BYTES } from './recordCodec.js';
import { RecordTooLargeError } from './recordTooLargeError.js';

/** Record payload and the changes that it holds. */
export interface EncodedBatch {
  payload: Buffer;
  write: LogWrite;
}

function encode(hardState: HardState | undefined, entries: LogEntry[]): EncodedBatch[] {
  const batch: BatchRecord = { kind: 'batch', hardState, entries: entries.map(toStoredEntry) };
  const payload = encodePayload(batch);
  if (payload.length <= MAX_RECORD_BYTES) return [{ payload, write: { hardState, entries } }];
  if (entries.length < 2) throw new RecordTooLargeError(payload.length, MAX_RECORD_BYTES);
  const middle = Math.floor(entries.length / 2);
  return [
    ...encode(hardState, entries.slice(0, middle)),
    ...encode(undefined, entries.slice(middle)),
  ];
}

/**
 * Encodes a write as one batch, or as several if one would exceed the size of a record.
 * Raises RecordTooLargeError for an entry that does not fit by itself.
 */
export function encodeBatches({ hardState, entries = [] }: LogWrite): EncodedBatch[] {
  return encode(hardState, entries);
}
