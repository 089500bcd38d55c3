import { delay } from '@lagoongap/model/delay.js';

/** Longest time for which items are processed without a pause, for other work of the event loop. */
const SLICE_MS = 4;

/**
 * Processes all items, and lets the event loop continue whenever a slice of time is used up, so
 * that leadership is renewed meanwhile. Ends early once `isActive` returns false.
 *
 * @param pauseMs - Minimum pause between two slices in milliseconds.
 */
export async function runInSlices<Item>(
  items: Iterable<Item>,
  process: (item: Item) => void,
  isActive: () => boolean,
  pauseMs = 0,
): Promise<void> {
  let startMs = performance.now();
  for (const item of items) {
    process(item);
    if (performance.now() - startMs < SLICE_MS) continue;
    await delay(pauseMs);
    if (!isActive()) return;
    startMs = performance.now();
  }
}
