import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { createScheduler, resolveSizeOptions } from '@lagoongap/daemon/schedulerFactory.js';
import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import type { WorkUnit } from '@lagoongap/model/workload.js';
import type { Decision, Scheduler } from '@lagoongap/scheduling/scheduler.js';
import type { SizeEstimatorOptions } from '@lagoongap/scheduling/sizeEstimator.js';

interface SchedulerWorld {
  sizes: Partial<SizeEstimatorOptions>;
  scheduler: Scheduler;
  decisions: Decision[];
}

const WORKER_CPU_MILLIS = 4000;
const URGENT_PRIORITY = 900;
const MAX_PLACEMENTS = 100;
const CYCLE_INTERVAL_MS = 250;

function createConfig(): ClusterConfig {
  const limit = {};
  return {
    number: 1,
    teams: {
      first: { name: 'first', share: 1, limit },
      second: { name: 'second', share: 1, limit },
    },
    keys: {},
    queues: {},
    endpointRules: { all: { name: 'all', match: {}, works: ['work'] } },
  };
}

function createUnit(id: string, team: string, priority: number): WorkUnit {
  return {
    id,
    kind: 'batch',
    team,
    queue: 'queue',
    work: 'work',
    priority,
    size: { ...NO_RESOURCES, cpuMillis: 1000 },
    indexes: [0],
    enqueuedAtMs: 0,
    excluded: [],
  };
}

When(
  'a daemon creates its size estimator with packing weight {float}',
  function resolveSizes(this: SchedulerWorld, weight: number) {
    this.sizes = resolveSizeOptions(weight);
  },
);

Then(
  'a reservation covers {int} percent of the peaks plus {int} percent headroom',
  function checkSizes(this: SchedulerWorld, percent: number, headroom: number) {
    assert.equal(Math.round(this.sizes.percentile! * 100), percent);
    assert.equal(Math.round(this.sizes.headroom! * 100) - 100, headroom);
  },
);

Given(
  'a scheduler created by a daemon with preemption {word}',
  function buildScheduler(this: SchedulerWorld, preemption: string) {
    this.scheduler = createScheduler({
      policy: 'fair-share',
      usageHalfLifeMs: 600_000,
      packingWeight: 0.5,
      preemption: preemption === 'on',
      maxBatch: MAX_PLACEMENTS,
    });
    this.scheduler.setConfiguration(createConfig());
  },
);

Given(
  'a worker whose capacity is fully used by batch work of another team',
  function fillWorker(this: SchedulerWorld) {
    this.scheduler.upsertEndpoint({
      id: 'worker-1',
      kind: 'worker',
      url: 'http://127.0.0.1:1',
      size: { ...NO_RESOURCES, cpuMillis: WORKER_CPU_MILLIS },
      rack: 'rack-1',
      dataCentre: 'dc-1',
      works: ['work'],
      speed: 1,
      capabilities: ['checkpoint', 'throttle', 'stop'],
      state: 'ready',
      ejected: false,
    });
    for (let i = 0; i < WORKER_CPU_MILLIS / 1000; i += 1) {
      this.scheduler.enqueue(createUnit(`filler-${i}`, 'second', 1));
    }
    const placed = this.scheduler.decide(0, MAX_PLACEMENTS).filter(({ type }) => type === 'place');
    assert.equal(placed.length, WORKER_CPU_MILLIS / 1000);
  },
);

When(
  'urgent work of the first team has waited for {int} s',
  function waitForPlacement(this: SchedulerWorld, seconds: number) {
    this.scheduler.enqueue(createUnit('urgent', 'first', URGENT_PRIORITY));
    this.decisions = [];
    for (let nowMs = CYCLE_INTERVAL_MS; nowMs <= seconds * 1000; nowMs += CYCLE_INTERVAL_MS) {
      this.decisions.push(...this.scheduler.decide(nowMs, MAX_PLACEMENTS));
    }
  },
);

Then('the scheduler preempts running work', function checkPreempts(this: SchedulerWorld) {
  assert.ok(this.decisions.some(({ type }) => type === 'preempt'));
});

Then('the scheduler preempts no work', function checkPreemptsNothing(this: SchedulerWorld) {
  assert.ok(this.decisions.every(({ type }) => type !== 'preempt'));
});
