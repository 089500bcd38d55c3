import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { fitsInto, NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';
import type { PoolPolicy } from '@lagoongap/workflow/cellConfig.js';
import {
  capacityFor,
  EndpointWarmup,
  isStoredColdKept,
  limitCapacity,
  type ColdLimits,
} from '@lagoongap/workflow/endpointWarmup.js';
import {
  DEFAULT_WORKFLOW_FEATURES,
  type WorkflowFeature,
} from '@lagoongap/workflow/workflowFeatures.js';
import FakeTimers from '@sinonjs/fake-timers';

import { createStep, type WorkflowWorld } from '../../workflow/workflowWorld.js';

interface Steps {
  world: WorkflowWorld;
  warmupClock?: ReturnType<typeof FakeTimers.install>;
  warmup: EndpointWarmup;
  capacity: Resources;
  pool: PoolPolicy;
  startCount: number;
}

const MILLIS = 1000;

/** Time of the scenarios about one endpoint, long after the first leader. */
const LATE_MS = 100_000;

const URGENT_QUEUE = 'urgent';

function toResources(cores: number): Resources {
  return { ...NO_RESOURCES, cpuMillis: cores * MILLIS };
}

function createEndpoint(steps: Steps, cores: number, pool: Partial<PoolPolicy>): void {
  steps.warmupClock = FakeTimers.install({ toFake: ['performance'] });
  steps.warmupClock.tick(LATE_MS);
  steps.capacity = toResources(cores);
  steps.pool = { name: 'p', coldMs: 0, coldStartsPerSecond: 0, ...pool };
  steps.warmup = new EndpointWarmup(-Infinity);
  steps.startCount = 0;
}

function findLimits({ warmup, capacity, pool }: Steps): ColdLimits | undefined {
  return warmup.findLimits(capacity, pool, performance.now());
}

function readCapacity(steps: Steps): Resources {
  const cold = findLimits(steps);
  return cold ? limitCapacity(steps.capacity, cold) : steps.capacity;
}

After(function uninstall(this: Steps) {
  this.warmupClock?.uninstall();
});

Given(
  'an endpoint of {int} cores of a pool that is cold for {int} ms',
  function create(this: Steps, cores: number, coldMs: number) {
    createEndpoint(this, cores, { coldMs });
  },
);

Given(
  'an endpoint of {int} cores of a pool that tolerates {float} starts per second while cold',
  function create(this: Steps, cores: number, coldStartsPerSecond: number) {
    createEndpoint(this, cores, { coldStartsPerSecond });
  },
);

Given('an earlier leader that may have given orders until now', function create(this: Steps) {
  this.warmup = new EndpointWarmup(performance.now());
});

When('it reports that it is cold for {int} ms', function report(this: Steps, ms: number) {
  this.warmup.observe(ms, performance.now());
});

When('{int} ms pass for the endpoint', function pass(this: Steps, ms: number) {
  this.warmupClock!.tick(ms);
});

Then('it takes {int} cores', function check(this: Steps, cores: number) {
  assert.equal(readCapacity(this).cpuMillis, cores * MILLIS);
});

Then(
  /^it has (room|no room) for a task of (\d+) cores beside (\d+) runs$/,
  function check(this: Steps, verdict: string, cores: string, runs: string) {
    const size = toResources(Number(cores));
    const candidate = { capacity: readCapacity(this), cold: findLimits(this) };
    const capacity = capacityFor(size, candidate, Number(runs));
    assert.equal(fitsInto(size, capacity), verdict === 'room');
  },
);

Then('it takes {int} starts now', function check(this: Steps, count: number) {
  const limits = findLimits(this)!;
  for (let i = 0; i < count; i += 1) {
    assert.ok(limits.countStartsLeft() > 0, `start ${i}`);
    this.startCount += 1;
    limits.recordStart(`run-${this.startCount}`);
    this.warmup.recordOrder(`run-${this.startCount}`, performance.now());
  }
  if (this.pool.coldStartsPerSecond > 0) assert.equal(limits.countStartsLeft(), 0);
});

Then(
  /^a stored warm-up of (\d+) ms is (kept|replaced) when an endpoint reports (\d+) ms$/,
  (stored: string, verdict: string, reported: string) => {
    assert.equal(isStoredColdKept(Number(stored), Number(reported)), verdict === 'kept');
  },
);

Given('the pool is cold for {int} ms', function set(this: Steps, coldMs: number) {
  this.world.setWarmup(coldMs, 0);
});

Given(
  'the pool is cold for {int} ms and tolerates {int} starts per second',
  function set(this: Steps, coldMs: number, startsPerSecond: number) {
    this.world.setWarmup(coldMs, startsPerSecond);
  },
);

Given('the feature {string} is switched off', async function disable(this: Steps, name: string) {
  const features = new Set(DEFAULT_WORKFLOW_FEATURES);
  features.delete(name as WorkflowFeature);
  this.world.features = features;
  await this.world.changeLeader();
});

Given(
  /^worker (\w+) is cold for (\d+) ms( each time)?$/,
  async function chill(this: Steps, id: string, ms: string, isConstant: string | undefined) {
    const coldUntilMs = performance.now() + Number(ms);
    this.world.coldUntilMs.set(id, coldUntilMs);
    if (isConstant) {
      this.world.coldUntilMs.get = () => performance.now() + Number(ms);
    }
    await this.world.sendHeartbeats();
  },
);

Given('worker {word} is of kind {string}', async function set(this: Steps, id: string, kind) {
  this.world.records.set(id, { ...this.world.records.get(id)!, kind });
  await this.world.sendHeartbeats();
});

When(
  'urgent job {string} of {int} tasks of {int} ms is submitted',
  async function submit(this: Steps, id: string, taskCount: number, ms: number) {
    for (const worker of this.world.driver.workers.values()) worker.durationMs = ms;
    const step = createStep({ taskCount, estimateMs: ms });
    await this.world.submit(id, [step], {}, URGENT_QUEUE);
  },
);

When('the workflow leader changes and hears no heartbeats', async function change(this: Steps) {
  await this.world.changeLeader(0, { isHeartbeatLost: true });
  this.world.losesHeartbeats = true;
});

Then(
  'the record of worker {word} was committed at most {int} times',
  function check(this: Steps, id: string, max: number) {
    const lines = this.world.logger.find('endpoint has changed');
    // The first one is the registration.
    const commits = lines.filter(({ fields }) => fields.endpoint === id).length - 1;
    assert.ok(commits >= 1 && commits <= max, `${commits} commits`);
  },
);

Then(
  'the log explains a wait with {int} cold endpoints',
  function check(this: Steps, count: number) {
    const lines = this.world.logger.find('step is waiting');
    assert.ok(lines.some(({ fields }) => fields.cold === count));
  },
);
