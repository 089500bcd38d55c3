/* eslint-disable import-x/extensions, no-await-in-loop, no-continue, no-restricted-syntax
   -- off for TypeScript files too, see eslint.config.js */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { createId } from '../standins-3/client.mjs';
import { runCase } from '../standins-3/fleet.mjs';
import { BOUNDS, sleep } from '../standins-3/system.mjs';

const RECORD = join(dirname(fileURLToPath(import.meta.url)), 'record.txt');

const GATEWAYS = 9;
const FREEZE_MS = 3500;
const SENT_AFTER_MS = 200;
const STEP_MS = 3500;
const ROUNDS = 3;
const CANCEL_S = BOUNDS.cancel_ms / 1000;

function createSubmission() {
  const step = { count: 2, cpu: 2500, mem_mb: 9300, estimate_ms: STEP_MS };
  return {
    task_spec: JSON.stringify({ ms: STEP_MS }),
    steps: [step, { ...step, start_after: [0] }],
  };
}

await runCase(RECORD, { gateways: GATEWAYS }, async (deployment, hasTrouble) => {
  const { history, system, client } = deployment;
  const breaks = [];
  const notes = [];
  await sleep(3000);
  for (let round = 1; round <= ROUNDS; round += 1) {
    const frozen = system.find(`gateway-${round}`);
    const others = system.fronts.filter((front) => !front.startsWith(`${frozen.host}:`));
    const id = createId();
    if (hasTrouble) {
      frozen.child.kill('SIGSTOP');
      history.add('frozen', { machine: frozen.name });
    }
    await sleep(SENT_AFTER_MS);
    const front = system.fronts.find((it) => it.startsWith(`${frozen.host}:`));
    // The client waits for its time limit of 3,000 ms, and then cancels instead of asking again.
    const [answer] = await Promise.all([
      client.call('POST', id, createSubmission(), front),
      sleep(FREEZE_MS - SENT_AFTER_MS).then(() => {
        if (!hasTrouble) return;
        frozen.child.kill('SIGCONT');
        history.add('thawed', { machine: frozen.name });
      }),
      sleep(BOUNDS.contact_ms + 50).then(async () => {
        const res = await client.call('DELETE', id, undefined, others[0]);
        history.add('cancelled', { id, status: res?.status ?? 'none' });
      }),
    ]);
    const cancelled = history.list('cancelled').find(({ details }) => details.id === id);
    await sleep(2 * STEP_MS + 3000);
    const starts = history.list('start').filter(({ details }) => details.task.startsWith(id));
    const state = await client.call('GET', id, undefined, others[1]);
    notes.push(
      `round ${round}: POST ${answer?.status ?? 'no answer'}, DELETE ${cancelled.details.status} at ` +
        `${cancelled.atS.toFixed(1)} s, ${starts.length} starts, then GET ${state?.status} ` +
        `${state?.body?.state ?? ''}`,
    );
    if (![200, 410].includes(cancelled.details.status)) continue;
    for (const { atS, details } of starts) {
      if (atS - cancelled.atS <= CANCEL_S) continue;
      breaks.push(
        `${details.task} starts ${(atS - cancelled.atS).toFixed(1)} s after the cancelling of ${id} ` +
          `was acknowledged with ${cancelled.details.status}`,
      );
    }
  }
  return { breaks, notes };
});
