// The rules below are those that the project turns off for its own TypeScript.
/* eslint-disable import-x/extensions, no-await-in-loop */
/* eslint-disable no-restricted-syntax */
// A runner fails all for some seconds: does accepted work run on it once it is sound again?
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { createConfig } from '../calls.mjs';
import { BOUNDS, Cell, delay, until } from '../cell.mjs';
import { Client } from '../client.mjs';
import { History } from '../history.mjs';
import { Operator } from '../operator.mjs';
import { runCase } from '../record.mjs';
import { Runner } from '../runner.mjs';

const HOST = 'jobs.example';
const PREFIX = '/certificates/';
const SERVICE = 'calrec';
const KEY = 'key-of-the-tenant';
const RUNNERS = 12;
/** Kind that only the first runner has. */
const KIND = 'b';
const WORK_MS = 640;
/** Length of the disruption; the limit of the site is 6.5 s. */
const GREY_MS = 6500;
/** Time for which a submission has nothing running, from which it is lost. */
const IDLE_MS = 3000;
const LASTING_ID = 'aa00000000000001';
const LATE_ID = 'bb00000000000001';

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({ record, hasTrouble, use }) => {
  const cell = new Cell({ record });
  use(cell);
  await cell.start();
  const history = new History(record);
  const operator = new Operator({ record, cell });
  const tenants = [{ name: 'laboratory', api_keys: [KEY] }];
  await operator.order(
    'PUT',
    '/-/config',
    createConfig({ version: 3, host: HOST, prefix: PREFIX, service: SERVICE, tenants }),
  );
  const runners = [];
  for (let i = 1; i <= RUNNERS; i += 1) {
    const runner = new Runner({
      id: `i-${i}`,
      machine: `m-${i}`,
      host: '127.0.0.1',
      service: SERVICE,
      kind: i === 1 ? KIND : 'a',
      control: cell.controlAddresses,
      history,
    });
    use(runner);
    await runner.start();
    runners.push(runner);
  }
  await delay(3000);

  const client = new Client({ record, cell, host: HOST, key: KEY });
  const submit = async (id, step) => {
    const spec = step.long_running ? {} : { work_ms: WORK_MS };
    const accepted = await client.call('POST', `${PREFIX}${id}`, {
      task_spec: JSON.stringify(spec),
      steps: [{ count: 1, cpu: 2500, mem_mb: 9300, requires: KIND, ...step }],
    });
    if (accepted.status >= 300) throw new Error('a submission was not accepted');
  };
  const runsOf = (id) => history.of(id).filter(({ endMs }) => endMs === undefined);
  await submit(LASTING_ID, { long_running: true, estimate_ms: 400 });
  await until('the task that lasts runs', 5000, () => runsOf(LASTING_ID).length > 0);
  if (hasTrouble) {
    record.write('runner i-1 fails all that it starts, and what it runs');
    runners[0].failsAll = true;
    for (const run of [...runners[0].active.values()]) runners[0].finish(run, 'failed');
    setTimeout(() => {
      record.write('runner i-1 is sound again');
      runners[0].failsAll = false;
    }, GREY_MS);
  }
  for (let i = 1; i <= 3; i += 1) {
    await submit(`cc0000000000000${i}`, { estimate_ms: WORK_MS });
    await delay(500);
  }
  await delay(GREY_MS);
  await until('the task that lasts runs again', 40_000, () => runsOf(LASTING_ID).length > 0);
  await delay(1000);
  await submit(LATE_ID, { estimate_ms: WORK_MS });
  // The traffic ends here. finish_s later the submission is looked at for three seconds.
  await delay(BOUNDS.finish_s * 1000);
  const fromMs = performance.now();
  const state = async () => (await client.call('GET', `${PREFIX}${LATE_ID}`)).body?.state;
  while (performance.now() - fromMs < IDLE_MS) {
    if (history.of(LATE_ID).length > 0) break;
    await delay(50);
  }
  const last = await state();
  const isIdle = history.of(LATE_ID).length === 0;
  record.write(
    `the submission is ${last}; on i-1: ${runners[0].active.size} runs of 2.5 of 32 cores`,
  );
  return isIdle
    ? [
        `LOST: submission ${LATE_ID} is ${last} with nothing running ${BOUNDS.finish_s + 3} s after it was accepted, while the only runner of its kind is sound and has room for it twelve times over`,
      ]
    : [];
});
