// The rules below are those that the project turns off for its own TypeScript.
/* eslint-disable import-x/extensions, no-await-in-loop */
/* eslint-disable no-restricted-syntax */
// The start of a service's task gets no answer: does the next upkeep end the other task?
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { createConfig } from '../calls.mjs';
import { Cell, delay, until } from '../cell.mjs';
import { Client } from '../client.mjs';
import { CloudApi } from '../cloudApi.mjs';
import { History } from '../history.mjs';
import { Operator } from '../operator.mjs';
import { runCase } from '../record.mjs';

const HOST = 'jobs.example';
const PREFIX = '/archive/';
const SERVICE = 'calrec';
const KEY = 'key-of-the-tenant';
const ID = '5c0e7a21d94b36f8';
const MACHINES = ['m-1', 'm-2', 'm-3', 'm-4', 'm-5', 'm-6', 'm-7', 'm-8'];
const TASKS = 2;
const MAY_MISS = 1;
/** Time after which an order without an answer is carried out: 2 to 12 s. */
const APPLY_AFTER_MS = 3000;
/** Limits of the site: share of the orders that get no answer, and length of the disruption. */
const MAX_SHARE = 0.055;
const DISRUPTION_MS = 5500;
/** Other traffic: a short job each time. */
const TRAFFIC_INTERVAL_MS = 100;
/** Time since its start from which a task of the stand-in is at work. */
const AT_WORK_MS = 500;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({ record, hasTrouble, use }) => {
  const history = new History(record);
  const cloud = new CloudApi({ record, history, service: SERVICE });
  await cloud.start('127.0.0.1');
  use(cloud);
  const cell = new Cell({ record, cloudApiAddress: cloud.address });
  use(cell);
  await cell.start();
  const operator = new Operator({ record, cell });
  await operator.order(
    'PUT',
    '/-/config',
    createConfig({
      version: 3,
      host: HOST,
      prefix: PREFIX,
      service: SERVICE,
      tenants: [{ name: 'laboratory', api_keys: [KEY] }],
    }),
  );

  // Orders for the task that an upkeep has ended get no answer and are carried out late.
  let lateTask;
  let disruptedMs;
  const unanswered = new Set();
  const orderTimesMs = [];
  const disturb = (url, { task, run }) => {
    orderTimesMs.push(performance.now());
    if (!hasTrouble || task === undefined || task !== lateTask) return undefined;
    const order = `${url} ${run}`;
    if (run !== 2 || unanswered.has(order)) return undefined;
    unanswered.add(order);
    disruptedMs ??= performance.now();
    return { applyMs: APPLY_AFTER_MS };
  };
  cloud.onRunner = (runner) => {
    Object.assign(runner, { disturb });
  };

  const breaks = [];
  const isAtWork = (task) =>
    history.runs.some(
      (run) =>
        run.task === task &&
        run.endMs === undefined &&
        performance.now() - run.startMs >= AT_WORK_MS,
    );
  cloud.onUpkeep = ({ name, runner }) => {
    const own = history.of(ID).filter((run) => run.runner === runner.id && !run.endMs);
    const tasks = [...new Set(history.of(ID).map(({ task }) => task))];
    for (const { task } of own) {
      const away = tasks.filter((other) => other !== task && !isAtWork(other));
      if (isAtWork(task) && away.length >= MAY_MISS) {
        breaks.push(
          `AVAIL: the upkeep of ${name} ends ${task}, which is at work, while ${away.join(', ')} is away; may_miss ${MAY_MISS}`,
        );
      }
    }
    lateTask ??= own[0]?.task;
  };

  for (const name of MACHINES) await cloud.addMachine(name, cell.controlAddresses);
  await delay(3000);
  const client = new Client({ record, cell, host: HOST, key: KEY });
  const job = {
    task_spec: JSON.stringify({}),
    steps: [
      {
        count: TASKS,
        cpu: 6700,
        mem_mb: 19_000,
        estimate_ms: 400,
        long_running: true,
        anti_affinity: 1,
        may_miss: MAY_MISS,
      },
    ],
  };
  await client.call('POST', `${PREFIX}${ID}`, job);
  await until('all tasks are at work', 10_000, () => history.of(ID).length === TASKS);
  let isOver = false;
  let next = 0;
  const sendTraffic = async () => {
    while (!isOver) {
      next += 1;
      const id = next.toString(16).padStart(16, '0');
      const body = {
        task_spec: JSON.stringify({ work_ms: 300 }),
        steps: [{ count: 1, cpu: 500, mem_mb: 500, estimate_ms: 300 }],
      };
      client.attempt('POST', `${PREFIX}${id}`, body);
      await delay(TRAFFIC_INTERVAL_MS);
    }
  };
  const traffic = sendTraffic();
  await delay(5000);
  const machines = history.of(ID).map(({ runner }) => runner.split('-').slice(1, 3).join('-'));
  const wave = { wave: 1, machines, within_s: 40, max_count: 1 };
  cloud.openWave(wave);
  await operator.order('POST', '/-/wave-start', wave);
  await until('the wave is completed', 60_000, async () => {
    await delay(500);
    return (await operator.order('GET', '/-/wave-get/1')).body?.state === 'completed';
  });
  isOver = true;
  await traffic;
  await delay(1000);
  if (disruptedMs !== undefined) {
    const span = orderTimesMs.filter((ms) => Math.abs(ms - disruptedMs) <= DISRUPTION_MS / 2);
    const share = unanswered.size / span.length;
    record.write(
      `${unanswered.size} of ${span.length} orders in ${DISRUPTION_MS} ms got no answer`,
    );
    if (share > MAX_SHARE) throw new Error('more orders got no answer than the site allows');
  }
  return breaks;
});
