import assert from 'node:assert/strict';

import { When } from '@cucumber/cucumber';

import { settleWithin, TIMEOUT } from './cellSupport.js';
import type { CellWorld } from './cellWorld.js';
import { startOpenLoad } from './openLoad.js';

/** Requests that are under way when an instance stops to accept others. */
const LONGER_THAN_DRAIN_DELAY_MS = 1800;
const READY_TIMEOUT_MS = 500;

/** Returns an instance that has just said that it is ready, beginning with a different one each time. */
async function pickReady(world: CellWorld, number: number): Promise<string> {
  const { instanceIds } = world.cell!;
  for (let i = 0; i < 10 * instanceIds.length; i += 1) {
    const id = instanceIds[(number + i) % instanceIds.length]!;
    const call = world.cell!.call(id, '/readyz');
    const answer = await settleWithin(call, READY_TIMEOUT_MS).catch(() => undefined);
    if (answer?.status === 200) return id;
  }
  throw new Error('no instance is ready');
}

When(
  'a balancer sends requests to instances that are ready until told to stop',
  TIMEOUT,
  async function balance(this: CellWorld) {
    await startOpenLoad(this, {
      pickInstance: (number) => pickReady(this, number),
      keys: [this.keys.laboratories.secret, this.keys.utilities.secret],
      concurrency: 20,
      noRepeatEvery: 2,
      instruction: { sleepMs: LONGER_THAN_DRAIN_DELAY_MS },
      markerPrefix: 'balanced',
      firstAnswers: 50,
    });
  },
);

When(
  'each instance in turn is stopped gracefully and started again',
  TIMEOUT,
  async function stopEach(this: CellWorld) {
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
