import type { LogEntry } from '@lagoongap/storage/logStore.js';

import { estimateTextLength } from './textLength.js';

/** Estimated lengths; an entry is measured once, however many members it is sent to. */
const lengths = new WeakMap<LogEntry, number>();

function lengthOf(entry: LogEntry): number {
  const known = lengths.get(entry);
  if (known !== undefined) return known;
  const length = estimateTextLength(entry);
  lengths.set(entry, length);
  return length;
}

/** Returns the first entries whose text is not longer than a limit, but at least one. */
export function limitText(entries: LogEntry[], maxText: number): LogEntry[] {
  let length = 0;
  const end = entries.findIndex((entry, at) => {
    length += lengthOf(entry);
    return at > 0 && length > maxText;
  });
  return end < 0 ? entries : entries.slice(0, end);
}
