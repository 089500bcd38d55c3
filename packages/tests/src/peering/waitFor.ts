import { setTimeout as delay } from 'node:timers/promises';

/** Interval between evaluations of the condition. */
const POLL_MS = 5;

/** Resolves once `condition` holds; rejects after `timeoutMs` with an error that names it. */
export async function waitFor(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 5000,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`not within ${timeoutMs} ms: ${description}`);
    await delay(POLL_MS);
  }
}
