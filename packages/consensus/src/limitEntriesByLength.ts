import type { LogEntry } from '@lagoongap/storage/logStore.js';

import { estimateTextLength } from './estimateTextLength.js';

/** Caches estimates, since an entry is sent to several members. */
const estimatedLengths = new WeakMap<LogEntry, number>();

/** Returns the estimated length of the JSON text of an entry. */
export function estimatedLengthOf(entry: LogEntry): number {
  const cachedLength = estimatedLengths.get(entry);
  if (cachedLength !== undefined) return cachedLength;
  const length = estimateTextLength(entry);
  estimatedLengths.set(entry, length);
  return length;
}

/** Returns the longest prefix whose estimated JSON text fits the limit, but at least one entry. */
export function limitEntriesByLength(entries: LogEntry[], maxLength: number): LogEntry[] {
  let length = 0;
  const end = entries.findIndex((entry, at) => {
    length += estimatedLengthOf(entry);
    return at > 0 && length > maxLength;
  });
  return end < 0 ? entries : entries.slice(0, end);
}
