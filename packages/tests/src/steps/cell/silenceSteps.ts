import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { SilentRelay } from '@lagoongap/stand-in/silentRelay.js';

import { delay } from '@lagoongap/model/delay.js';

import {
  listLiving,
  lookUpJob,
  openCell,
  readLeader,
  settleWithin,
  submitJob,
  TIMEOUT,
} from './cellSupport.js';
import type { CellWorld } from './cellWorld.js';

interface SilenceWorld extends CellWorld {
  cutOff: string;
  cutAtMs: number;
  submitting?: Promise<void>;
  markers: string[];
}

function listRelaysOf(world: SilenceWorld, id: string): SilentRelay[] {
  return [...world.relays].filter(([pair]) => pair.split('->').includes(id)).map(([, r]) => r);
}

function cutOff(world: SilenceWorld, id: string): void {
  world.cutOff = id;
  world.cutAtMs = performance.now();
  world.killed.push(id);
  for (const relay of listRelaysOf(world, id)) relay.pause();
}

Given(
  'a cell of {int} daemons of which {int} have a disk, connected through relays',
  TIMEOUT,
  async function startRelayed(this: SilenceWorld, instances: number, replicas: number) {
    this.relays = new Map();
    const ids = Array.from({ length: instances }, (_, i) => `instance-${i + 1}`);
    const pairs = ids.flatMap((from) => ids.filter((to) => to !== from).map((to) => [from, to]));
    for (const [from, to] of pairs) {
      const relay = new SilentRelay();
      await relay.start();
      this.relays.set(`${from}->${to}`, relay);
    }
    await openCell(this, {
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
  'jobs that must not be repeated are submitted until told to stop',
  function submitJobs(this: SilenceWorld) {
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
        // A job whose answer was lost may run as well, and at most once.
        this.markers.push(marker);
        if (id !== undefined) this.jobs.push(id);
        await delay(20);
      }
    };
    this.submitting = submit();
  },
);

When(
  'the leader is frozen for {int} ms and continued',
  TIMEOUT,
  async function freezeLeader(this: SilenceWorld, frozenMs: number) {
    const leader = await readLeader(this);
    await this.cell!.waitFor('some jobs', async () => this.jobs.length >= 20);
    const daemon = this.cell!.daemons.get(leader)!;
    this.killed.push(leader);
    daemon.signal('SIGSTOP');
    // The length of the freeze is the fault itself.
    await delay(frozenMs);
    assert.notEqual(await readLeader(this), leader);
    daemon.signal('SIGCONT');
    await this.cell!.waitUntilReady(leader);
    const { length } = this.jobs;
    await this.cell!.waitFor('more jobs', async () => this.jobs.length >= length + 20);
  },
);

Then(
  'every request through an instance that was not frozen was answered whole',
  function checkOthers(this: SilenceWorld) {
    const [frozen] = this.killed;
    const others = this.calls.filter(({ instance }) => instance !== frozen);
    assert.ok(others.length > 0);
    assert.deepEqual(others.filter(({ outcome }) => outcome !== 'answered').slice(0, 5), []);
  },
);

Then(
  'each accepted job has ended and no task was started twice',
  TIMEOUT,
  async function checkJobs(this: SilenceWorld) {
    await this.submitting;
    for (const id of this.jobs) {
      const { body } = await lookUpJob(this, id, 15_000);
      assert.match(body.state, /^(succeeded|unknown)$/, JSON.stringify(body));
    }
    // The history checker of requests covers jobs by their marker.
    const nowMs = performance.now();
    this.calls.push(
      ...this.markers.map((marker) => ({
        marker,
        instance: this.killed[0]!,
        noRepeat: true,
        sent: '',
        outcome: 'connection-lost' as const,
        startedAtMs: nowMs,
        endedAtMs: nowMs,
      })),
    );
    this.killed = [];
  },
);

When('{word} is cut off in silence', function cutOffInstance(this: SilenceWorld, id: string) {
  cutOff(this, id);
});

When('the leader is cut off in silence', TIMEOUT, async function cutOffLeader(this: SilenceWorld) {
  cutOff(this, await readLeader(this));
});

Then(
  'the cut off instance is not ready within {int} ms',
  TIMEOUT,
  async function checkFenced(this: SilenceWorld, boundMs: number) {
    await this.cell!.waitFor('the cut off instance to fence itself', async () => {
      const { status } = await settleWithin(this.cell!.call(this.cutOff, '/readyz'), 500);
      return status === 503;
    });
    const tookMs = performance.now() - this.cutAtMs;
    assert.ok(tookMs <= boundMs, `${this.cutOff} fenced itself after ${tookMs} ms`);
  },
);

Then(
  'every instance refuses that key within {int} s',
  TIMEOUT,
  async function checkRefused(this: SilenceWorld, seconds: number) {
    const { instanceIds } = this.cell!;
    await this.cell!.waitFor('the withdrawn key to be refused everywhere', async () => {
      const calls = instanceIds.map((id) =>
        settleWithin(
          this.cell!.call(id, '/v1/jobs/none', { key: this.keys.utilities.secret }),
          500,
        ),
      );
      const answers = await Promise.all(calls);
      return answers.every(
        ({ status, body }) => status === 401 || body.error?.type === 'gateway-not-valid',
      );
    });
    const tookMs = performance.now() - this.startedAtMs;
    assert.ok(tookMs <= seconds * 1000, `the key was refused everywhere after ${tookMs} ms`);
  },
);

When('the cut off instance is connected again', function connect(this: SilenceWorld) {
  for (const relay of listRelaysOf(this, this.cutOff)) relay.resume();
  this.killed = this.killed.filter((id) => id !== this.cutOff);
});

Then(
  'it is ready within {int} s and refuses the withdrawn key as unknown',
  TIMEOUT,
  async function checkRecovered(this: SilenceWorld, seconds: number) {
    const check = async (): Promise<boolean> =>
      (await settleWithin(this.cell!.call(this.cutOff, '/readyz'), 500)).status === 200;
    await this.cell!.waitFor('the instance to recover', check, seconds * 1000);
    const { status } = await this.cell!.call(this.cutOff, '/v1/jobs/none', {
      key: this.keys.utilities.secret,
    });
    assert.equal(status, 401);
  },
);

Then('another instance leads', TIMEOUT, async function checkLeader(this: SilenceWorld) {
  await this.cell!.waitFor(
    'another leader',
    async () => (await readLeader(this)) !== this.cutOff && listLiving(this).length === 3,
  );
});
