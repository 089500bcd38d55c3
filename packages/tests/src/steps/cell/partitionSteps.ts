import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { PausableRelay } from '@lagoongap/stand-in/pausableRelay.js';

import { delay } from '@lagoongap/model/delay.js';

import {
  listAvailable,
  fetchJob,
  startDemoCell,
  fetchLeader,
  settleWithin,
  submitJob,
  TIMEOUT,
} from './cellSupport.js';
import type { CellWorld } from './cellWorld.js';

interface PartitionWorld extends CellWorld {
  partitioned: string;
  partitionedAtMs: number;
  submitting?: Promise<void>;
  markers: string[];
}

function listRelays(world: PartitionWorld, id: string): PausableRelay[] {
  return [...world.relays].filter(([pair]) => pair.split('->').includes(id)).map(([, r]) => r);
}

function partition(world: PartitionWorld, id: string): void {
  world.partitioned = id;
  world.partitionedAtMs = performance.now();
  world.unavailable.push(id);
  for (const relay of listRelays(world, id)) relay.pause();
}

Given(
  'a cell of {int} daemons of which {int} have a disk, connected through relays',
  TIMEOUT,
  async function startRelayed(this: PartitionWorld, instances: number, replicas: number) {
    this.relays = new Map();
    const ids = Array.from({ length: instances }, (_, i) => `instance-${i + 1}`);
    const pairs = ids.flatMap((from) => ids.filter((to) => to !== from).map((to) => [from, to]));
    for (const [from, to] of pairs) {
      const relay = new PausableRelay();
      await relay.start();
      this.relays.set(`${from}->${to}`, relay);
    }
    await startDemoCell(this, {
      instances,
      replicas,
      mapPeer: (peer, viewedFrom) => {
        const relay = this.relays.get(`${viewedFrom}->${peer.id}`)!;
        relay.target = { host: peer.host, port: peer.port };
        return { ...peer, ...relay.address };
      },
    });
  },
);

When(
  'jobs that must not be repeated are submitted until stopped',
  function submitJobs(this: PartitionWorld) {
    let hasStopped = false;
    const stopRequests = this.stopLoad!;
    this.stopLoad = () => {
      hasStopped = true;
      stopRequests();
    };
    this.markers = [];
    const submit = async (): Promise<void> => {
      for (let i = 0; !hasStopped; i += 1) {
        const marker = `once-${i}`;
        const spec = { noRepeat: true, payload: { runMs: 50, marker } };
        const id = await settleWithin(submitJob(this, spec), 15_000).catch(() => undefined);
        // A job whose response was lost may have been accepted; it must run at most once as well.
        this.markers.push(marker);
        if (id !== undefined) this.jobs.push(id);
        await delay(20);
      }
    };
    this.submitting = submit();
  },
);

When(
  'the leader is suspended for {int} ms and resumed',
  TIMEOUT,
  async function suspendLeader(this: PartitionWorld, suspendedMs: number) {
    const leader = await fetchLeader(this);
    await this.cell!.waitFor('some jobs', async () => this.jobs.length >= 20);
    const daemon = this.cell!.daemons.get(leader)!;
    this.unavailable.push(leader);
    daemon.signal('SIGSTOP');
    // Waits for a fixed time: the length of the suspension is the injected fault.
    await delay(suspendedMs);
    assert.notEqual(await fetchLeader(this), leader);
    daemon.signal('SIGCONT');
    await this.cell!.waitUntilReady(leader);
    const { length } = this.jobs;
    await this.cell!.waitFor('more jobs', async () => this.jobs.length >= length + 20);
  },
);

Then(
  'every request through an instance that was not suspended got a complete response',
  function checkOthers(this: PartitionWorld) {
    const [suspended] = this.unavailable;
    const others = this.calls.filter(({ instance }) => instance !== suspended);
    assert.ok(others.length > 0);
    assert.deepEqual(others.filter(({ outcome }) => outcome !== 'answered').slice(0, 5), []);
  },
);

Then(
  'each accepted job has ended and no task was started twice',
  TIMEOUT,
  async function checkJobs(this: PartitionWorld) {
    await this.submitting;
    for (const id of this.jobs) {
      const { body } = await fetchJob(this, id, 15_000);
      assert.match(body.state, /^(succeeded|unknown)$/, JSON.stringify(body));
    }
    // Adds the jobs as calls, so that the history checkers cover them by their marker.
    const nowMs = performance.now();
    this.calls.push(
      ...this.markers.map((marker) => ({
        marker,
        instance: this.unavailable[0]!,
        noRepeat: true,
        sent: '',
        outcome: 'connection-lost' as const,
        startedAtMs: nowMs,
        endedAtMs: nowMs,
      })),
    );
    this.unavailable = [];
  },
);

When(
  '{word} is silently partitioned',
  function partitionInstance(this: PartitionWorld, id: string) {
    partition(this, id);
  },
);

When(
  'the leader is silently partitioned',
  TIMEOUT,
  async function partitionLeader(this: PartitionWorld) {
    partition(this, await fetchLeader(this));
  },
);

Then(
  'the partitioned instance is not ready within {int} ms',
  TIMEOUT,
  async function checkNotReady(this: PartitionWorld, boundMs: number) {
    await this.cell!.waitFor('the partitioned instance to become not ready', async () => {
      const { status } = await settleWithin(this.cell!.call(this.partitioned, '/readyz'), 500);
      return status === 503;
    });
    const tookMs = performance.now() - this.partitionedAtMs;
    assert.ok(tookMs <= boundMs, `${this.partitioned} became not ready after ${tookMs} ms`);
  },
);

Then(
  'every instance refuses that key within {int} s',
  TIMEOUT,
  async function checkRefused(this: PartitionWorld, seconds: number) {
    const { instanceIds } = this.cell!;
    await this.cell!.waitFor('the withdrawn key to be refused everywhere', async () => {
      const calls = instanceIds.map((id) =>
        settleWithin(
          this.cell!.call(id, '/v1/jobs/none', { key: this.keys.utilities.secret }),
          500,
        ),
      );
      const responses = await Promise.all(calls);
      return responses.every(
        ({ status, body }) => status === 401 || body.error?.type === 'gateway-not-valid',
      );
    });
    const tookMs = performance.now() - this.startedAtMs;
    assert.ok(tookMs <= seconds * 1000, `the key was refused everywhere after ${tookMs} ms`);
  },
);

When('the partitioned instance is reconnected', function reconnect(this: PartitionWorld) {
  for (const relay of listRelays(this, this.partitioned)) relay.resume();
  this.unavailable = this.unavailable.filter((id) => id !== this.partitioned);
});

Then(
  'it is ready within {int} s and refuses the withdrawn key as unknown',
  TIMEOUT,
  async function checkRecovered(this: PartitionWorld, seconds: number) {
    const check = async (): Promise<boolean> =>
      (await settleWithin(this.cell!.call(this.partitioned, '/readyz'), 500)).status === 200;
    await this.cell!.waitFor('the instance to recover', check, seconds * 1000);
    const { status } = await this.cell!.call(this.partitioned, '/v1/jobs/none', {
      key: this.keys.utilities.secret,
    });
    assert.equal(status, 401);
  },
);

Then(
  'another instance becomes the leader',
  TIMEOUT,
  async function checkLeader(this: PartitionWorld) {
    await this.cell!.waitFor(
      'another leader',
      async () =>
        (await fetchLeader(this)) !== this.partitioned && listAvailable(this).length === 3,
    );
  },
);
