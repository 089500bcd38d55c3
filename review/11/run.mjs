/* eslint-disable import-x/extensions, no-await-in-loop, no-continue, no-restricted-syntax
   -- off for TypeScript files too, see eslint.config.js */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { createId } from '../standins-3/client.mjs';
import { createSubmission, runCase } from '../standins-3/fleet.mjs';
import { sleep } from '../standins-3/system.mjs';

const RECORD = join(dirname(fileURLToPath(import.meta.url)), 'record.txt');

/** Rounds: work of the task, crashes under it, and the time from a start to the crash. */
const ROUNDS = [
  { taskMs: 6000, crashes: 3, fromMs: 1700, toMs: 2300 },
  { taskMs: 3000, crashes: 2, fromMs: 300, toMs: 300 },
  { taskMs: 6000, crashes: 3, fromMs: 1700, toMs: 2300 },
];
const DOWN_MS = 1000;
const ROUND_MS = 30_000;
const MAX_ATTEMPTS = 4;
const OTHER_MS = 640;

await runCase(RECORD, { config: { maxAttempts: MAX_ATTEMPTS } }, async (deployment, hasTrouble) => {
  const { history, fleet, client } = deployment;
  const breaks = [];
  const notes = [];
  await sleep(3000);
  let isOver = false;
  const others = (async () => {
    while (!isOver) {
      await client.submit(createId(), createSubmission(OTHER_MS, { count: 6 }));
      await sleep(300);
    }
  })();
  for (const [round, { taskMs, crashes, fromMs, toMs }] of ROUNDS.entries()) {
    const id = createId();
    if (!(await client.submit(id, createSubmission(taskMs)))) continue;
    const task = `${id}.0.0.0`;
    const endMs = performance.now() + ROUND_MS;
    let crashed = 0;
    let seen = 0;
    let state;
    while (performance.now() < endMs) {
      const starts = history.list('start').filter(({ details }) => details.task === task);
      if (hasTrouble && starts.length > seen && crashed < crashes) {
        seen = starts.length;
        const { machine: name } = starts.at(-1).details;
        crashed += 1;
        await sleep(fromMs + Math.random() * (toMs - fromMs));
        fleet.find((machine) => machine.name === name).crash(DOWN_MS);
      }
      state = await client.readState(id);
      if (state === 'completed' || state === 'failed') break;
      await sleep(50);
    }
    const ends = history.list('end').filter(({ details }) => details.task === task);
    const failed = ends.filter(({ details }) => details.how === 'failed').length;
    notes.push(
      `round ${round + 1}: ${id} is ${state} after ${crashed} crashes and ${failed} ends "failed"`,
    );
    if (state === 'failed' && failed < MAX_ATTEMPTS) {
      breaks.push(`${id} was accepted, nobody cancelled it, and it is shown as failed`);
    }
  }
  isOver = true;
  await others;
  return { breaks, notes };
});
