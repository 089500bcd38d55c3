import assert from 'node:assert/strict';

import { When } from '@cucumber/cucumber';

import { settleWithin, TIMEOUT } from './cellSupport.js';
import type { CellWorld } from './cellWorld.js';
import { startContinuousLoad } from './continuousLoad.js';

/** Exceeds the drain delay, so that requests are still running when an instance stops accepting. */
const REQUEST_RUN_MS = 1800;
const READY_TIMEOUT_MS = 500;

/** Returns an instance that has just reported ready; each request starts at a different one. */
async function pickReady(world: CellWorld, number: number): Promise<string> {
  const { instanceIds } = world.cell!;
  for (let i = 0; i < 10 * instanceIds.length; i += 1) {
    const id = instanceIds[(number + i) % instanceIds.length]!;
    const call = world.cell!.call(id, '/readyz');
    const response = await settleWithin(call, READY_TIMEOUT_MS).catch(() => undefined);
    if (response?.status === 200) return id;
  }
  throw new Error('no instance is ready');
}

When(
  'a load balancer sends requests to ready instances until stopped',
  TIMEOUT,
  async function startBalancedLoad(this: CellWorld) {
    await startContinuousLoad(this, {
      pickInstance: (number) => pickReady(this, number),
      keys: [this.keys.laboratories.secret, this.keys.utilities.secret],
      concurrency: 20,
      noRepeatEvery: 2,
      instruction: { sleepMs: REQUEST_RUN_MS },
      markerPrefix: 'balanced',
      initialResponses: 50,
    });
  },
);

When(
  'each instance in turn is stopped gracefully and restarted',
  TIMEOUT,
  async function restartEach(this: CellWorld) {
    for (const id of this.cell!.instanceIds) {
      const daemon = this.cell!.daemons.get(id)!;
      daemon.signal('SIGTERM');
      const exit = await settleWithin(daemon.waitForExit(), 20_000);
      assert.equal(exit.code, 0, `exit of ${id}`);
      this.cell!.startDaemon(id);
      await this.cell!.waitUntilReady(id);
    }
  },
);
