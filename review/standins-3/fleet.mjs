/* eslint-disable import-x/extensions, n/no-process-exit, no-restricted-syntax
   -- off for TypeScript files too, see eslint.config.js */
// A small deployment: three replicas, two gateways, 33 machines with runners, operator and client.
import { Client, createConfig, order, POOL } from './client.mjs';
import { History } from './record.mjs';
import { Machine } from './runner.mjs';
import { BOUNDS, findNetwork, System } from './system.mjs';

const RACK_SIZE = 8;
const FIRST_HOST = 10;

/** Starts everything; `setUp` may change the machines before their runners start. */
export async function startDeployment({ machines = 33, gateways = 2, setUp, config = {} } = {}) {
  const history = new History();
  const network = await findNetwork();
  const fleet = [];
  const keepLogs = process.env.KEEP_LOGS === '1';
  const system = new System({ network, gateways, keepLogs });
  const stop = async () => {
    for (const machine of fleet) machine.die('end of the test');
    await system.stop();
  };
  try {
    await system.start();
    const path = '/-/config';
    await order(system.controls, history, { method: 'PUT', path, body: createConfig(1, config) });
    for (let i = 0; i < machines; i += 1) {
      fleet.push(
        new Machine({
          name: `m-${String(i + 1).padStart(2, '0')}`,
          host: `${network}.${FIRST_HOST + i}`,
          zone: `attica-${'abc'[i % 3]}`,
          kind: 'a',
          rack: `r1-${Math.floor(i / RACK_SIZE) + 1}`,
          pool: POOL,
          capacity: { cpu: 32000, mem_mb: 131072, gpu: 0 },
          controls: system.controls,
          history,
          maxHoldMs: BOUNDS.max_hold_ms,
        }),
      );
    }
    setUp?.(fleet);
    await Promise.all(fleet.map((machine) => machine.boot()));
    const client = new Client(system.fronts, history);
    return { history, system, fleet, client, stop };
  } catch (err) {
    await stop();
    throw err;
  }
}

/** Returns the body of a submission with one step. */
export function createSubmission(ms, step = {}) {
  const size = { cpu: 2500, mem_mb: 9300 };
  return {
    task_spec: JSON.stringify({ ms }),
    steps: [{ count: 1, ...size, estimate_ms: Math.max(400, ms), ...step }],
  };
}

/** Runs a test; `play` resolves with the list of breaks of the rule and a list of notes. */
export async function runCase(file, opts, play) {
  let deployment;
  try {
    deployment = await startDeployment(opts);
    const { breaks, notes = [] } = await play(deployment, process.env.TROUBLE !== '0');
    await deployment.history.write(file, [
      ...notes,
      ...(breaks.length > 0 ? breaks.map((it) => `BROKEN: ${it}`) : ['the rule held']),
    ]);
    for (const line of [...notes, ...breaks]) process.stdout.write(`${line}\n`);
    process.exitCode = breaks.length > 0 ? 1 : 0;
  } catch (err) {
    process.stderr.write(`the case could not run: ${err.stack}\n`);
    await deployment?.history.write(file, [`the case could not run: ${err.message}`]);
    process.exitCode = 2;
  } finally {
    await deployment?.stop();
  }
  process.exit();
}
