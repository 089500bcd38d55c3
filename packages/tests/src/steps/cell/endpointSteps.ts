import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { ProcessHandle } from '@lagoongap/stand-in/processHandle.js';
import type { HistoryEvent } from '@lagoongap/stand-in/standInOptions.js';

import { lookUpJob, readAsOperator, readMachineClock, submitJob, TIMEOUT } from './cellSupport.js';
import type { CellWorld } from './cellWorld.js';
import { startOpenLoad } from './openLoad.js';

const TASK_MS = 20_000;
const SHORT_TASK_MS = 5000;
/** Endpoint lease less the longest time since its last renewal: 6000 ms and a heartbeat of 1500 ms. */
const SHORTEST_REST_OF_LEASE_MS = 4500;
/** More requests at a time than the sound runners have slots, so that the faulty one is used. */
const OVERLOAD = 60;
const FAULTY = 'runner-faulty';

interface EndpointWorld extends CellWorld {
  leaving: string;
  leftAtMs: number;
  dead: string;
  /** Job ids by marker. */
  jobsByMarker: Map<string, string>;
  runningOnDead: HistoryEvent[];
}

function listEvents(world: CellWorld): HistoryEvent[] {
  return world.cell!.readHistory() as unknown as HistoryEvent[];
}

/** Lists the starts of tasks that an endpoint has not ended. */
function listRunning(world: CellWorld, endpoint: string): HistoryEvent[] {
  const events = listEvents(world).filter((event) => event.endpoint === endpoint);
  const ended = new Set(events.filter(({ type }) => type === 'end').map(({ attempt }) => attempt));
  return events.filter(
    ({ type, kind, attempt }) => type === 'start' && kind === 'task' && !ended.has(attempt),
  );
}

/** Returns the endpoint on which most tasks run. */
function findBusiest(world: CellWorld, but: string[] = []): string {
  const ids = [...world.cell!.endpoints.keys()].filter((id) => !but.includes(id));
  const counts = ids.map((id) => [id, listRunning(world, id).length] as const);
  return counts.sort(([, a], [, b]) => b - a)[0]![0];
}

Given('a stand-in runner that fails everything', TIMEOUT, async function fail(this: CellWorld) {
  await this.cell!.startEndpoint({
    id: FAULTY,
    key: this.keys.endpoint.secret,
    works: ['metering'],
    behaviour: { failsEverything: true },
  });
});

When(
  'the laboratories send repeatable requests until told to stop',
  TIMEOUT,
  async function startLoad(this: CellWorld) {
    await startOpenLoad(this, {
      keys: [this.keys.laboratories.secret],
      concurrency: OVERLOAD,
      noRepeatEvery: 0,
      instruction: { sleepMs: 50 },
      markerPrefix: 'repeatable',
      firstAnswers: 50,
    });
  },
);

When(
  '{int} repeatable jobs and {int} jobs that must not be repeated run',
  TIMEOUT,
  async function submit(this: EndpointWorld, repeatable: number, once: number) {
    this.jobsByMarker = new Map();
    const add = async (marker: string, noRepeat: boolean): Promise<void> => {
      const size = { cpuMillis: 4000, memoryMib: 256 };
      const spec = { size, noRepeat, payload: { runMs: SHORT_TASK_MS, marker } };
      this.jobsByMarker.set(marker, await submitJob(this, spec));
    };
    // Packing fills one endpoint after the other, so that each gets both kinds in this order.
    for (let i = 0; i < Math.max(repeatable, once); i += 1) {
      if (i < repeatable) await add(`again-${i}`, false);
      if (i < once) await add(`once-${i}`, true);
    }
    await this.cell!.waitFor('all jobs to run', async () => {
      const starts = listEvents(this).filter(
        ({ type, kind }) => type === 'start' && kind === 'task',
      );
      return starts.length >= repeatable + once;
    });
  },
);

When(
  'an endpoint with running work is told to leave',
  TIMEOUT,
  async function leave(this: EndpointWorld) {
    this.leaving = findBusiest(this);
    this.leftAtMs = readMachineClock();
    this.cell!.endpoints.get(this.leaving)!.signal('SIGTERM');
  },
);

When(
  'another endpoint with running work is killed',
  TIMEOUT,
  async function kill(this: EndpointWorld) {
    this.dead = findBusiest(this, [this.leaving]);
    const handle: ProcessHandle = this.cell!.endpoints.get(this.dead)!;
    handle.signal('SIGKILL');
    this.killedEndpoints.set(this.dead, readMachineClock());
    await handle.waitForExit();
    this.runningOnDead = listRunning(this, this.dead);
    const markers = this.runningOnDead.map(({ marker }) => marker!);
    assert.ok(
      markers.some((marker) => marker.startsWith('again-')),
      `on ${this.dead}: ${markers}`,
    );
    assert.ok(
      markers.some((marker) => marker.startsWith('once-')),
      `on ${this.dead}: ${markers}`,
    );
  },
);

Then(
  'the leaving endpoint has started nothing after {int} ms and finishes its work',
  TIMEOUT,
  async function checkLeft(this: EndpointWorld, boundMs: number) {
    const { code } = await this.cell!.endpoints.get(this.leaving)!.waitForExit();
    assert.equal(code, 0);
    const events = listEvents(this).filter(({ endpoint }) => endpoint === this.leaving);
    const late = events.filter(
      ({ type, monotonicMs }) => type === 'start' && monotonicMs > this.leftAtMs + boundMs,
    );
    assert.deepEqual(late, []);
    const ends = events.filter(
      ({ type, kind, monotonicMs }) =>
        type === 'end' && kind === 'task' && monotonicMs > this.leftAtMs,
    );
    assert.ok(ends.length > 0, 'the endpoint had no running work');
    assert.deepEqual(new Set(ends.map(({ outcome }) => outcome)), new Set(['succeeded']));
  },
);

Then(
  'repeatable tasks of the killed endpoint run elsewhere, not before its lease has run out',
  TIMEOUT,
  async function checkRepeated(this: EndpointWorld) {
    const killedAtMs = this.killedEndpoints.get(this.dead)!;
    for (const { marker } of this.runningOnDead) {
      if (!marker!.startsWith('again-')) continue;
      const { body } = await lookUpJob(this, this.jobsByMarker.get(marker!)!, TASK_MS);
      assert.equal(body.state, 'succeeded', JSON.stringify(body));
      const starts = listEvents(this).filter(
        (event) => event.type === 'start' && event.marker === marker,
      );
      assert.equal(starts.length, 2, `starts of ${marker}`);
      const again = starts.find(({ endpoint }) => endpoint !== this.dead)!;
      const afterMs = again.monotonicMs - killedAtMs;
      assert.ok(afterMs >= SHORTEST_REST_OF_LEASE_MS, `${marker} ran again after ${afterMs} ms`);
    }
  },
);

Then(
  'its tasks that must not be repeated end as unknown',
  TIMEOUT,
  async function checkUnknown(this: EndpointWorld) {
    for (const { marker } of this.runningOnDead) {
      if (!marker!.startsWith('once-')) continue;
      const { body } = await lookUpJob(this, this.jobsByMarker.get(marker!)!, TASK_MS);
      assert.equal(body.state, 'unknown', JSON.stringify(body));
    }
  },
);

Then(
  'the endpoint that fails everything is ejected',
  TIMEOUT,
  async function check(this: CellWorld) {
    await this.cell!.waitFor('the faulty endpoint to be ejected', async () => {
      const endpoints = await readAsOperator(this, '/v1/endpoints');
      return endpoints.find(({ id }: { id: string }) => id === FAULTY).ejected;
    });
  },
);
