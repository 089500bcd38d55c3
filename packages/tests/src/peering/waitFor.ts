import { setTimeout as delay } from 'node:timers/promises';

/** Interval between two looks at a condition. */
const POLL_MS = 5;

/** Resolves once `condition` holds; rejects with what was awaited after `boundMs`. */
export async function waitFor(
  what: string,
  condition: () => boolean | Promise<boolean>,
  boundMs = 5000,
): Promise<void> {
  const deadline = performance.now() + boundMs;
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`not within ${boundMs} ms: ${what}`);
    await delay(POLL_MS);
  }
}
