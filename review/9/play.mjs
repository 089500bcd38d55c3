/* eslint import-x/extensions: "off", import-x/prefer-default-export: "off", no-restricted-syntax: "off", no-await-in-loop: "off", no-continue: "off", class-methods-use-this: "off", n/no-sync: "off", n/no-process-exit: "off", n/no-unsupported-features/node-builtins: "off" */
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { runCase, sleep } from '../standins-2/cell.mjs';
import { Cloud } from '../standins-2/cloud.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const JOB = '00000000000000b1';
const TASKS = 5;
const MAY_MISS = 1;
/** Six runners, of which one is slow: a share of 0.167; `srv_slow` allows 0.17, x 6.5 for 7 s. */
const RUNNERS = 6;
const SLOW_FACTOR = 6.5;
const SLOW_MS = 7000;
const STARTUP_MS = 600;
const WAVE = {
  wave: 1,
  machines: ['m-1', 'm-2', 'm-3', 'm-4', 'm-5', 'm-6'],
  within_s: 60,
  max_count: 1,
};

/** Returns the names of the tasks of the step that are at work, with their machines. */
function listAtWork(cell) {
  return new Map(
    cell.runners.flatMap((runner) =>
      [...runner.runs.values()]
        .filter((run) => runner.percentOf(run) === 100)
        .map(({ task }) => [task, runner.machine]),
    ),
  );
}

await runCase(
  FOLDER,
  { runners: Array.from({ length: RUNNERS }, () => ({})) },
  async (cell, isTroubled) => {
    const broken = [];
    await cell.configure();
    const cloud = new Cloud(cell);
    // Tasks that an upkeep has ended and that are not at work again yet.
    const away = new Set();
    cloud.onBegin = (runner) => {
      const atWork = listAtWork(cell);
      for (const task of [...away]) if (atWork.has(task)) away.delete(task);
      const ended = [...runner.runs.values()].filter((run) => runner.percentOf(run) === 100);
      for (const { task } of ended) {
        const others = [...away].filter((it) => it !== task);
        if (others.length >= MAY_MISS) {
          broken.push(
            `AVAIL: the upkeep of ${runner.machine} ended ${task}, which was at work, while ${others.join()} was away after an earlier upkeep (may_miss ${MAY_MISS})`,
          );
        }
        away.add(task);
      }
    };
    await cloud.start();
    for (const runner of cell.runners) runner.startupMs = STARTUP_MS;
    await sleep(3000);
    await cell.submit(JOB, {
      task_spec: JSON.stringify({ lasts: true }),
      steps: [
        {
          count: TASKS,
          cpu: 1000,
          mem_mb: 256,
          anti_affinity: 1,
          long_running: true,
          may_miss: MAY_MISS,
        },
      ],
    });
    await cell.waitUntil('all tasks work', 15_000, () => listAtWork(cell).size === TASKS);
    await sleep(3000);
    // The only runner without a task of the step is the slow one, so the first task moves there.
    const spare = cell.runners.find(({ runs }) => runs.size === 0);
    if (isTroubled) {
      spare.slowFactor = SLOW_FACTOR;
      cell.record('srv_slow', { machine: spare.machine, x: SLOW_FACTOR, ms: SLOW_MS });
      setTimeout(() => {
        spare.slowFactor = 1;
      }, SLOW_MS);
    }
    const machines = cell.runners.filter((it) => it !== spare).map(({ machine }) => machine);
    await cell.operate('POST', '/-/wave-start', { ...WAVE, machines });
    await sleep(30_000);
    return broken;
  },
);
