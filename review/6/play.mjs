/* eslint import-x/extensions: "off", import-x/prefer-default-export: "off", no-restricted-syntax: "off", no-await-in-loop: "off", no-continue: "off", class-methods-use-this: "off", n/no-sync: "off", n/no-process-exit: "off", n/no-unsupported-features/node-builtins: "off" */
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { runCase, sleep } from '../standins-2/cell.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const EARLIER = '00000000000000d1';
const LARGE = '00000000000000d2';
/** One task a minute for a year, of which the first was due a year ago: all times are due. */
const REPEATS = 525_600;
const FEW_REPEATS = 10;
const INTERVAL_MS = 60_000;
const FINISH_MS = 14_000;
const ASK_MS = 15_000;
const EXITS = 3;

const step = { count: 1, cpu: 1000, mem_mb: 256, estimate_ms: 300 };

await runCase(
  FOLDER,
  { runners: Array.from({ length: 6 }, () => ({})) },
  async (cell, isTroubled) => {
    await cell.configure();
    await sleep(3000);
    const text = JSON.stringify({ ms: 3000 });
    const accepted = await cell.submit(EARLIER, { task_spec: text, steps: [step] });
    if (!accepted) throw new Error('the first submission was not accepted');
    await cell.submit(LARGE, {
      task_spec: JSON.stringify({ ms: 300 }),
      steps: [step],
      repeat_count: isTroubled ? REPEATS : FEW_REPEATS,
      first_ms: Date.now() - REPEATS * INTERVAL_MS,
      interval_ms: INTERVAL_MS,
    });
    cell.record('the traffic has ended');
    await sleep(FINISH_MS);
    let state;
    const endMs = performance.now() + ASK_MS;
    for (let i = 0; performance.now() < endMs && state === undefined; i += 1) {
      state = await cell.readState(EARLIER, cell.fronts[i % cell.fronts.length]);
      await sleep(300);
    }
    const broken = [];
    if (state === undefined) {
      broken.push(
        `LOST: submission ${EARLIER}, accepted before, gets no answer ${(FINISH_MS + ASK_MS) / 1000} s after the end of the traffic`,
      );
    }
    const replicas = cell.processes.filter(({ role }) => role === 'replica');
    const ended = replicas.filter(({ exits }) => exits >= EXITS);
    if (ended.length * 2 >= replicas.length) {
      const counts = replicas.map(({ name, exits }) => `${name} ${exits} times`).join(', ');
      broken.push(`Fault: processes of the core ended by themselves: ${counts}`);
    }
    return broken;
  },
);
