/* eslint import-x/extensions: "off", import-x/prefer-default-export: "off", no-restricted-syntax: "off", no-await-in-loop: "off", no-continue: "off", class-methods-use-this: "off", n/no-sync: "off", n/no-process-exit: "off", n/no-unsupported-features/node-builtins: "off" */
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { runCase, sleep } from '../standins-2/cell.mjs';
import { Cloud } from '../standins-2/cloud.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const WAVE = { wave: 1, machines: ['m-1', 'm-2', 'm-3'], within_s: 20, max_count: 1 };
const runners = Array.from({ length: 5 }, () => ({}));

await runCase(FOLDER, { runners }, async (cell, isTroubled) => {
  await cell.configure();
  const cloud = new Cloud(cell);
  // The first order is carried out, and its connection ends without a response.
  cloud.losesResponse = (count) => isTroubled && count === 1;
  await cloud.start();
  await sleep(3000);
  await cell.operate('POST', '/-/wave-start', WAVE);
  for (let i = 0; i < 40; i += 1) {
    await sleep(500);
    const res = await cell.operate('GET', '/-/wave-get/1');
    if (JSON.parse(res.text).state === 'completed') break;
  }
  await sleep(1000);
  return cloud.begun
    .filter(({ others }) => others.length >= WAVE.max_count)
    .map(
      ({ machine, others }) =>
        `LIMIT: the upkeep of ${machine} began while ${others.join()} was down for its own (max_count ${WAVE.max_count})`,
    );
});
