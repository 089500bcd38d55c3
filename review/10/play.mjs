/* eslint import-x/extensions: "off", import-x/prefer-default-export: "off", no-restricted-syntax: "off", no-await-in-loop: "off", no-continue: "off", class-methods-use-this: "off", n/no-sync: "off", n/no-process-exit: "off", n/no-unsupported-features/node-builtins: "off" */
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { runCase, sleep } from '../standins-2/cell.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const JOB = '0000000000000a01';
const CONFIG_APPLY_MS = 2000;
const READ_MS = 10_000;

await runCase(FOLDER, { runners: [{}, {}] }, async (cell, isTroubled) => {
  // The first version of the operator; `configure` adds one.
  cell.setLastVersion(isTroubled ? -1 : 0);
  const { status } = await cell.configure();
  if (status !== 200) throw new Error('the configuration was not acknowledged');
  await sleep(CONFIG_APPLY_MS);
  const accepted = await cell.submit(JOB, {
    task_spec: JSON.stringify({ ms: 300 }),
    steps: [{ count: 1, cpu: 1000, mem_mb: 256 }],
  });
  const read = await cell.readConfig(READ_MS);
  if (read?.version === cell.version) return [];
  return [
    `CONFIG: version ${cell.version} was acknowledged, but isn't read back from any node for ${READ_MS / 1000} s (submissions are ${accepted ? 'accepted' : 'refused with 503'})`,
  ];
});
