import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { LeaderClient } from '@lagoongap/gateway/leaderClient.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { PeerCallOptions, PeerNetwork } from '@lagoongap/peering/peerNetwork.js';
import { PeerTimeoutError } from '@lagoongap/peering/peerTimeoutError.js';
import FakeTimers from '@sinonjs/fake-timers';

interface HeldCallWorld {
  clock?: ReturnType<typeof FakeTimers.install>;
  client: LeaderClient;
  electing: ElectingNetwork;
  outcome: Promise<RefusalError | undefined>;
}

const LEADER = 'core-1';
const REPLICAS = ['core-3', 'core-2', LEADER];
const TICK_MS = 5;
const DETOUR = { deadlineMs: 2000 };

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Answers calls as replicas whose leader is elected at a monotonic time. */
class ElectingNetwork {
  /** The other replicas name the leader in their refusals. */
  namesLeader = true;
  /** Targets of all tries, in order. */
  readonly called: string[] = [];
  private readonly electedMs: number;

  constructor(electedMs: number) {
    this.electedMs = electedMs;
  }

  async call(
    target: string,
    method: string,
    params: { heldMs: number },
    { timeoutMs }: PeerCallOptions,
  ): Promise<string> {
    this.called.push(target);
    await pause(1);
    const hasLeader = performance.now() >= this.electedMs;
    if (target !== LEADER || !hasLeader) {
      throw new RefusalError({
        type: 'no-leader',
        runState: 'not-run',
        message: `${target} is not the leader`,
        details: { leaderId: hasLeader && this.namesLeader ? LEADER : undefined },
      });
    }
    await pause(Math.min(params.heldMs, timeoutMs));
    if (params.heldMs > timeoutMs) throw new PeerTimeoutError(target, method, timeoutMs);
    return 'answer';
  }
}

After(function uninstallClock(this: HeldCallWorld) {
  if (this.client instanceof LeaderClient) this.clock?.uninstall();
});

/** Advances the clock until a promise has settled; returns the time that it took. */
async function settle(world: HeldCallWorld, promise: Promise<unknown>): Promise<number> {
  const startMs = performance.now();
  let isSettled = false;
  const finish = (): void => {
    isSettled = true;
  };
  promise.then(finish, finish);
  while (!isSettled) await world.clock!.tickAsync(TICK_MS);
  return performance.now() - startMs;
}

Given(
  'a cell that elects its leader after {int} ms',
  function createCell(this: HeldCallWorld, ms: number) {
    this.clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
    this.electing = new ElectingNetwork(performance.now() + ms);
    this.client = new LeaderClient({
      network: this.electing as unknown as PeerNetwork,
      replicaInstances: REPLICAS,
      readLeaderHint: () => undefined,
    });
  },
);

function startCall(world: HeldCallWorld, heldMs: number, deadlineMs: number): void {
  world.outcome = world.client
    .call('poll', { heldMs }, { deadlineMs, heldMs: Number.isFinite(heldMs) ? heldMs : 0 })
    .then(
      () => undefined,
      (err: RefusalError) => err,
    );
}

When(
  'a call that the leader holds for {int} ms is made with a deadline of {int} ms',
  function hold(this: HeldCallWorld, heldMs: number, deadlineMs: number) {
    startCall(this, heldMs, deadlineMs);
  },
);

When(
  'a call that the leader never answers is made with a deadline of {int} ms',
  function ignore(this: HeldCallWorld, deadlineMs: number) {
    startCall(this, Infinity, deadlineMs);
  },
);

When('it has failed with {string}', async function fail(this: HeldCallWorld, reason: string) {
  await settle(this, this.outcome);
  const err = await this.outcome;
  assert.deepEqual(err?.refusal.details, { reason });
});

Then(
  /^a call that the leader answers at once takes at (most|least) (\d+) ms$/,
  async function checkQuickCall(this: HeldCallWorld, bound: 'most' | 'least', ms: string) {
    const call = this.client.call('read', { heldMs: 0 }, { deadlineMs: 2500 });
    const tookMs = await settle(this, call);
    assert.equal(await call, 'answer');
    assert.ok(bound === 'most' ? tookMs <= Number(ms) : tookMs >= Number(ms), `took ${tookMs} ms`);
  },
);

When('the other replicas name no leader', function hide(this: HeldCallWorld) {
  this.electing.namesLeader = false;
});

Then(
  'a call that the leader answers at once is sent to another replica first and takes at most {int} ms',
  async function checkDetour(this: HeldCallWorld, maxMs: number) {
    this.electing.called.splice(0);
    const tookMs = await settle(this, this.client.call('read', { heldMs: 0 }, DETOUR));
    assert.notEqual(this.electing.called[0], LEADER);
    assert.equal(this.electing.called.at(-1), LEADER);
    assert.ok(tookMs <= maxMs, `took ${tookMs} ms`);
  },
);
