import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { ProcessHandle } from '@lagoongap/stand-in/processHandle.js';
import type { HistoryEvent } from '@lagoongap/stand-in/standInOptions.js';

import { fetchJob, fetchAsOperator, readMonotonicMs, submitJob, TIMEOUT } from './cellSupport.js';
import type { CellWorld } from './cellWorld.js';
import { startContinuousLoad } from './continuousLoad.js';

const JOB_WAIT_MS = 20_000;
const SHORT_TASK_MS = 5000;
/** Endpoint lease of 6000 ms minus the heartbeat interval of 1500 ms since its last renewal. */
const MIN_REMAINING_LEASE_MS = 4500;
/** Exceeds the slots of the healthy runners, so that the faulty one is used as well. */
const OVERLOAD_CONCURRENCY = 60;
const FAULTY_RUNNER = 'runner-faulty';

interface EndpointWorld extends CellWorld {
  /** Endpoint that was stopped gracefully. */
  leaving: string;
  stoppedAtMs: number;
  killedEndpoint: string;
  /** Job ids by marker. */
  jobsByMarker: Map<string, string>;
  runningOnKilled: HistoryEvent[];
}

function listEvents(world: CellWorld): HistoryEvent[] {
  return world.cell!.readHistory() as unknown as HistoryEvent[];
}

/** Lists the start events of tasks that still run on an endpoint. */
function listRunning(world: CellWorld, endpoint: string): HistoryEvent[] {
  const events = listEvents(world).filter((event) => event.endpoint === endpoint);
  const ended = new Set(events.filter(({ type }) => type === 'end').map(({ attempt }) => attempt));
  return events.filter(
    ({ type, kind, attempt }) => type === 'start' && kind === 'task' && !ended.has(attempt),
  );
}

/** Returns the endpoint that runs the most tasks. */
function findBusiest(world: CellWorld, excluded: string[] = []): string {
  const ids = [...world.cell!.endpoints.keys()].filter((id) => !excluded.includes(id));
  const counts = ids.map((id) => [id, listRunning(world, id).length] as const);
  return counts.sort(([, a], [, b]) => b - a)[0]![0];
}

Given(
  'a stand-in runner that fails everything',
  TIMEOUT,
  async function startFaultyRunner(this: CellWorld) {
    await this.cell!.startEndpoint({
      id: FAULTY_RUNNER,
      key: this.keys.endpoint.secret,
      works: ['metering'],
      behaviour: { failsEverything: true },
    });
  },
);

When(
  'the laboratories send repeatable requests until stopped',
  TIMEOUT,
  async function startLoad(this: CellWorld) {
    await startContinuousLoad(this, {
      keys: [this.keys.laboratories.secret],
      concurrency: OVERLOAD_CONCURRENCY,
      noRepeatEvery: 0,
      instruction: { sleepMs: 50 },
      markerPrefix: 'repeatable',
      initialResponses: 50,
    });
  },
);

When(
  '{int} repeatable jobs and {int} jobs that must not be repeated run',
  TIMEOUT,
  async function submitJobs(this: EndpointWorld, repeatable: number, once: number) {
    this.jobsByMarker = new Map();
    const submit = async (marker: string, noRepeat: boolean): Promise<void> => {
      const size = { cpuMillis: 4000, memoryMib: 256 };
      const spec = { size, noRepeat, payload: { runMs: SHORT_TASK_MS, marker } };
      this.jobsByMarker.set(marker, await submitJob(this, spec));
    };
    // The scheduler packs one endpoint after the other, so the alternating order puts both kinds
    // on each of them.
    for (let i = 0; i < Math.max(repeatable, once); i += 1) {
      if (i < repeatable) await submit(`again-${i}`, false);
      if (i < once) await submit(`once-${i}`, true);
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
  'an endpoint with running work is stopped gracefully',
  TIMEOUT,
  async function stopEndpoint(this: EndpointWorld) {
    this.leaving = findBusiest(this);
    this.stoppedAtMs = readMonotonicMs();
    this.cell!.endpoints.get(this.leaving)!.signal('SIGTERM');
  },
);

When(
  'another endpoint with running work is killed',
  TIMEOUT,
  async function killEndpoint(this: EndpointWorld) {
    this.killedEndpoint = findBusiest(this, [this.leaving]);
    const handle: ProcessHandle = this.cell!.endpoints.get(this.killedEndpoint)!;
    handle.signal('SIGKILL');
    this.killedAtMsByEndpoint.set(this.killedEndpoint, readMonotonicMs());
    await handle.waitForExit();
    this.runningOnKilled = listRunning(this, this.killedEndpoint);
    const markers = this.runningOnKilled.map(({ marker }) => marker!);
    assert.ok(
      markers.some((marker) => marker.startsWith('again-')),
      `on ${this.killedEndpoint}: ${markers}`,
    );
    assert.ok(
      markers.some((marker) => marker.startsWith('once-')),
      `on ${this.killedEndpoint}: ${markers}`,
    );
  },
);

Then(
  'the stopping endpoint has started no work after {int} ms and finishes its running work',
  TIMEOUT,
  async function checkStopping(this: EndpointWorld, boundMs: number) {
    const { code } = await this.cell!.endpoints.get(this.leaving)!.waitForExit();
    assert.equal(code, 0);
    const events = listEvents(this).filter(({ endpoint }) => endpoint === this.leaving);
    const late = events.filter(
      ({ type, monotonicMs }) => type === 'start' && monotonicMs > this.stoppedAtMs + boundMs,
    );
    assert.deepEqual(late, []);
    const ends = events.filter(
      ({ type, kind, monotonicMs }) =>
        type === 'end' && kind === 'task' && monotonicMs > this.stoppedAtMs,
    );
    assert.ok(ends.length > 0, 'the endpoint had no running work');
    assert.deepEqual(new Set(ends.map(({ outcome }) => outcome)), new Set(['succeeded']));
  },
);

Then(
  'repeatable tasks of the killed endpoint run on another endpoint, not before its lease has expired',
  TIMEOUT,
  async function checkRerun(this: EndpointWorld) {
    const killedAtMs = this.killedAtMsByEndpoint.get(this.killedEndpoint)!;
    for (const { marker } of this.runningOnKilled) {
      if (!marker!.startsWith('again-')) continue;
      const { body } = await fetchJob(this, this.jobsByMarker.get(marker!)!, JOB_WAIT_MS);
      assert.equal(body.state, 'succeeded', JSON.stringify(body));
      const starts = listEvents(this).filter(
        (event) => event.type === 'start' && event.marker === marker,
      );
      assert.equal(starts.length, 2, `starts of ${marker}`);
      const rerun = starts.find(({ endpoint }) => endpoint !== this.killedEndpoint)!;
      const afterMs = rerun.monotonicMs - killedAtMs;
      assert.ok(afterMs >= MIN_REMAINING_LEASE_MS, `${marker} ran again after ${afterMs} ms`);
    }
  },
);

Then(
  'its tasks that must not be repeated end as unknown',
  TIMEOUT,
  async function checkUnknown(this: EndpointWorld) {
    for (const { marker } of this.runningOnKilled) {
      if (!marker!.startsWith('once-')) continue;
      const { body } = await fetchJob(this, this.jobsByMarker.get(marker!)!, JOB_WAIT_MS);
      assert.equal(body.state, 'unknown', JSON.stringify(body));
    }
  },
);

Then(
  'the endpoint that fails everything is ejected',
  TIMEOUT,
  async function checkEjected(this: CellWorld) {
    await this.cell!.waitFor('the faulty endpoint to be ejected', async () => {
      const endpoints = await fetchAsOperator(this, '/v1/endpoints');
      return endpoints.find(({ id }: { id: string }) => id === FAULTY_RUNNER).ejected;
    });
  },
);
