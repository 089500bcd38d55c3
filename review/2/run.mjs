// The rules below are those that the project turns off for its own TypeScript.
/* eslint-disable import-x/extensions, no-await-in-loop */
/* eslint-disable no-restricted-syntax */
// A runner that leaves is cut off one way as it says so: is its task started elsewhere too early?
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { createConfig } from '../calls.mjs';
import { BOUNDS, Cell, delay, until } from '../cell.mjs';
import { Client } from '../client.mjs';
import { History } from '../history.mjs';
import { Link } from '../link.mjs';
import { Operator } from '../operator.mjs';
import { runCase } from '../record.mjs';
import { Runner } from '../runner.mjs';

const HOST = 'jobs.example';
const PREFIX = '/curves/';
const SERVICE = 'calrec';
const KEY = 'key-of-the-tenant';
const ID = '5c0e7a21d94b36f8';
const RUNNERS = 16;
const WORK_MS = 15_000;
/** Length of the cut; the limit of the site is 5.5 s. */
const CUT_MS = 5500;
/** Time from the begin of the cut to the DELETE of the runner. */
const DELETE_AFTER_MS = 300;
/** Time from a DELETE without a confirmation to the end of the runner: some seconds. */
const END_AFTER_MS = 5000;

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

  // All traffic of the runners passes proxies, which only cut off one of them later.
  const links = new Map();
  const addLink = async (target) => {
    const link = new Link(target);
    use(link);
    await link.start('127.0.0.1');
    return link;
  };
  const runners = [];
  for (let i = 1; i <= RUNNERS; i += 1) {
    const runner = new Runner({
      id: `i-${i}`,
      machine: `m-${i}`,
      host: '127.0.0.1',
      service: SERVICE,
      control: cell.controlAddresses,
      history,
    });
    use(runner);
    runner.onListening = async () => {
      const inward = await addLink(runner.address);
      const outward = new Map();
      for (const address of cell.controlAddresses) outward.set(address, await addLink(address));
      links.set(runner, { inward, outward: [...outward.values()] });
      runner.advertised = inward.address;
      runner.toDialled = (address) => outward.get(address).address;
    };
    await runner.start();
    runners.push(runner);
  }
  const setCut = (runner, isCut) => {
    const { inward, outward } = links.get(runner);
    inward.setCut(isCut ? 'to-target' : undefined);
    for (const link of outward) link.setCut(isCut ? 'from-target' : undefined);
  };
  await delay(4000);

  const client = new Client({ record, cell, host: HOST, key: KEY });
  const job = {
    task_spec: JSON.stringify({ work_ms: WORK_MS }),
    steps: [{ count: 1, cpu: 5500, mem_mb: 16_000, estimate_ms: WORK_MS }],
  };
  const accepted = await client.call('POST', `${PREFIX}${ID}`, job);
  if (accepted.status >= 300) throw new Error('the submission was not accepted');
  const first = await until('the task is started', 10_000, () => history.of(ID)[0]);
  const leaving = runners.find(({ id }) => id === first.runner);
  await delay(1000);
  await leaving.drain();
  await delay(BOUNDS.drain_ms + 1000);
  // The cut begins shortly after a status report, so that the connection of the reports is open.
  const { seq } = leaving;
  await until('the next status report', 5000, () => leaving.seq > seq);
  await delay(200);
  if (hasTrouble) {
    record.write(`cut: bytes from the system to runner ${leaving.id} are lost`);
    setCut(leaving, true);
    setTimeout(() => {
      record.write('the cut heals');
      setCut(leaving, false);
    }, CUT_MS);
    await delay(DELETE_AFTER_MS);
  }
  const isConfirmed = await leaving.sayGoodbye(1000);
  if (!isConfirmed) await delay(END_AFTER_MS - 1000);
  leaving.end('stopped by its own end');

  await until('the submission is over', 60_000, async () => {
    await delay(500);
    return (await client.call('GET', `${PREFIX}${ID}`)).body?.state === 'completed';
  });
  return history
    .findOverlaps()
    .map(
      ({ a, b, ms }) =>
        `TWICE: ${a.task} ran as ${a.run} on ${a.runner} and as ${b.run} on ${b.runner} for ${ms} ms at the same time`,
    );
});
