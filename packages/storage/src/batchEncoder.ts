import type { BatchRecord } from './logRecord.js';
import { toStoredEntry } from './logRecord.js';
import type { HardState, LogEntry, LogWrite } from './logStore.js';
import { encodePayload } from './payloadCodec.js';
import { RecordTooLargeError } from './recordTooLargeError.js';

/** Record payload with the changes that it encodes. */
export interface EncodedBatch {
  payload: Buffer;
  write: LogWrite;
}

function encode(
  hardState: HardState | undefined,
  entries: LogEntry[],
  maxBytes: number,
): EncodedBatch[] {
  const batch: BatchRecord = { kind: 'batch', hardState, entries: entries.map(toStoredEntry) };
  const payload = encodePayload(batch);
  if (payload.length <= maxBytes) return [{ payload, write: { hardState, entries } }];
  if (entries.length < 2) throw new RecordTooLargeError(payload.length, maxBytes);
  const middle = Math.floor(entries.length / 2);
  return [
    ...encode(hardState, entries.slice(0, middle), maxBytes),
    ...encode(undefined, entries.slice(middle), maxBytes),
  ];
}

/**
 * Encodes a write as one batch, or as several if one would exceed the record size limit. Throws
 * RecordTooLargeError if a single entry exceeds it.
 */
export function encodeBatches(
  { hardState, entries = [] }: LogWrite,
  maxBytes: number,
): EncodedBatch[] {
  return encode(hardState, entries, maxBytes);
}
