import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';

import { TcpReplicaCluster } from '../../consensus/tcpReplicaCluster.js';

interface SlowLoopWorld {
  tcpCluster?: TcpReplicaCluster;
  isLoopSlow?: boolean;
}

function blockFor(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

Given(
  'a valid leader of {int} replicas that are connected over TCP',
  async function startCluster(this: SlowLoopWorld, count: number) {
    this.tcpCluster = new TcpReplicaCluster();
    await this.tcpCluster.start(count);
  },
);

When(
  'each iteration of the event loop takes {int} ms',
  function slowDown(this: SlowLoopWorld, ms: number) {
    this.isLoopSlow = true;
    const iterate = (): void => {
      if (!this.isLoopSlow) return;
      blockFor(ms);
      setImmediate(iterate);
    };
    setImmediate(iterate);
  },
);

Then(
  'the leader is valid at every moment of {int} ms',
  async function checkValidity(this: SlowLoopWorld, ms: number) {
    const { leader } = this.tcpCluster!;
    const endMs = performance.now() + ms;
    let invalidCount = 0;
    let count = 0;
    while (performance.now() < endMs) {
      await delay(1);
      count += 1;
      if (!leader?.isLeaderValid()) invalidCount += 1;
    }
    assert.equal(invalidCount, 0, `not valid in ${invalidCount} of ${count} iterations`);
  },
);

After(async function stop(this: SlowLoopWorld) {
  this.isLoopSlow = false;
  await this.tcpCluster?.[Symbol.asyncDispose]();
});
