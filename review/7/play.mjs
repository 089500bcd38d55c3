/* eslint import-x/extensions: "off", import-x/prefer-default-export: "off", no-restricted-syntax: "off", no-await-in-loop: "off", no-continue: "off", class-methods-use-this: "off", n/no-sync: "off", n/no-process-exit: "off", n/no-unsupported-features/node-builtins: "off" */
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { runCase, sleep } from '../standins-2/cell.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const DEADLY = '0000000000000d01';
/** The deadly submission is one of twenty: a share of 0.05 (`poison` allows 0.059). */
const SOUND_COUNT = 19;
const RUNNERS = 12;
const TASKS = 4;
const CRASH_AFTER_MS = 600;
const DOWN_MS = 3000;
const TASK_MS = 6000;
const WATCH_MS = 60_000;
/** A task may be started twice more after this many runners have crashed under it. */
const MAX_CRASHES = 3;
const MAX_STARTS_AFTER = 2;

const runners = Array.from({ length: RUNNERS }, () => ({ cpu: 1000 }));

await runCase(FOLDER, { runners }, async (cell, isTroubled) => {
  const crashes = new Map();
  const startsAfter = new Map();
  for (const runner of cell.runners) {
    runner.onDeadly = ({ task }) => {
      crashes.set(task, (crashes.get(task) ?? 0) + 1);
      runner.crash('its task is deadly');
      setTimeout(() => runner.revive(), DOWN_MS);
    };
    runner.onStart = ({ task }) => {
      if ((crashes.get(task) ?? 0) < MAX_CRASHES) return;
      startsAfter.set(task, (startsAfter.get(task) ?? 0) + 1);
    };
  }
  await cell.configure();
  await sleep(3000);
  const text = { ms: TASK_MS, ...(isTroubled ? { crashAfterMs: CRASH_AFTER_MS } : {}) };
  const step = { cpu: 1000, mem_mb: 256, estimate_ms: TASK_MS };
  const accepted = await cell.submit(DEADLY, {
    task_spec: JSON.stringify(text),
    steps: [{ ...step, count: TASKS }],
  });
  if (!accepted) throw new Error('the submission was not accepted');
  const endMs = performance.now() + WATCH_MS;
  for (let i = 0; i < SOUND_COUNT; i += 1) {
    const id = `000000000000aa${String(i).padStart(2, '0')}`;
    const sound = { ...step, count: 1, estimate_ms: 300 };
    await cell.submit(id, { task_spec: JSON.stringify({ ms: 300 }), steps: [sound] });
    await sleep(1000);
  }
  await sleep(Math.max(0, endMs - performance.now()));
  await cell.readState(DEADLY);
  return [...startsAfter]
    .filter(([, count]) => count > MAX_STARTS_AFTER)
    .map(
      ([task, count]) =>
        `BUDGET: ${task} was started ${count} times more after ${MAX_CRASHES} runners had crashed under it (${crashes.get(task)} in ${WATCH_MS / 1000} s)`,
    );
});
