/* eslint import-x/extensions: "off", import-x/prefer-default-export: "off", no-restricted-syntax: "off", no-await-in-loop: "off", no-continue: "off", class-methods-use-this: "off", n/no-sync: "off", n/no-process-exit: "off", n/no-unsupported-features/node-builtins: "off" */
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { runCase, sleep } from '../standins-2/cell.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const JOB = '00000000000000c1';
/** Twenty runners, of which two are of kind b and crash: a share of 0.1 (`srv_crash` allows 0.14). */
const RUNNERS = 20;
const CRASHING = 2;
/** The crashed runners are back after this time (`srv_crash` allows 4.5 s). */
const DOWN_MS = 1400;
const CRASHES = 3;
const UP_MS = 1400;
/** Time after the last crash for which the submission is watched. */
const WATCH_MS = 20_000;
const POLL_MS = 500;

const runners = Array.from({ length: RUNNERS }, (_, index) => ({
  kind: index < CRASHING ? 'b' : 'a',
}));

/** Task that lasts, or with `KIND=batch` one that works for 3 s. */
const spec =
  process.env.KIND === 'batch'
    ? { text: { ms: 3000 }, step: { estimate_ms: 3000 } }
    : { text: { lasts: true }, step: { long_running: true } };

await runCase(FOLDER, { runners }, async (cell, isTroubled) => {
  await cell.configure();
  await sleep(3000);
  const accepted = await cell.submit(JOB, {
    task_spec: JSON.stringify(spec.text),
    steps: [{ count: 1, cpu: 1000, mem_mb: 256, requires: 'b', ...spec.step }],
  });
  if (!accepted) throw new Error('the submission was not accepted');
  await sleep(1000);
  const crashing = cell.runners.filter(({ labels }) => labels.includes('b'));
  for (let i = 0; i < CRASHES && isTroubled; i += 1) {
    for (const runner of crashing) runner.crash('srv_crash');
    await sleep(DOWN_MS);
    for (const runner of crashing) runner.revive();
    await sleep(UP_MS);
  }
  cell.record('the runners crash no more');
  let state;
  for (let waitedMs = 0; waitedMs < WATCH_MS; waitedMs += POLL_MS) {
    state = (await cell.readState(JOB)) ?? state;
    if (state === 'completed' || state === 'failed') break;
    await sleep(POLL_MS);
  }
  const failures = cell.ends.filter(({ how }) => how === 'failed').length;
  if (state !== 'failed' || failures > 0) return [];
  return [
    `LOST: submission ${JOB} is shown as failed, though none of its runs has ended failed (max_attempts 3) and both runners are back`,
  ];
});
