import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { LeaderSession } from '@lagoongap/coordinator/leaderSession.js';
import type { StartOrder } from '@lagoongap/model/endpoint.js';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { HttpEndpointClient } from '@lagoongap/routing/httpEndpointClient.js';
import { NoHealthPolicy } from '@lagoongap/routing/noHealthPolicy.js';
import type { EndpointClient, StartResult } from '@lagoongap/routing/endpointClient.js';
import { FirstFitFifoScheduler } from '@lagoongap/scheduling/firstFitFifoScheduler.js';
import { ClusterState } from '@lagoongap/state/clusterState.js';
import { Metrics } from '@lagoongap/telemetry/metrics.js';
import FakeTimers from '@sinonjs/fake-timers';

import { CrashingWorker } from '../../harness/crashingWorker.js';
import { EagerCommitLog } from '../../harness/eagerCommitLog.js';
import { createTestNote } from '../../harness/testCell.js';

const TIMEOUT = { timeout: 30_000 };
const TICK_MS = 10;
const HEARTBEAT_MS = 1500;
const CORE_CPU_MILLIS = 1000;
const CRASH_DELAY_MS = 20;
const RETURN_MS = 2000;

interface CrashWorld {
  clock?: ReturnType<typeof FakeTimers.install>;
  leader?: LeaderSession;
  state: ClusterState;
  workers: Map<string, CrashingWorker>;
  crashingJob?: string;
  starts: number;
}

/** Creates a client that starts tasks on the workers of the world; some crash them. */
function createClient(world: CrashWorld): EndpointClient {
  const startTask = async (url: string, order: StartOrder): Promise<StartResult> => {
    const worker = world.workers.get(url.slice('http://'.length))!;
    worker.start(order);
    if (order.job === world.crashingJob && order.taskIndex === 0) {
      world.starts += 1;
      setTimeout(() => worker.crash(), CRASH_DELAY_MS);
      setTimeout(() => worker.announce(world.leader!), CRASH_DELAY_MS + RETURN_MS);
    }
    return 'started';
  };
  return Object.assign(new HttpEndpointClient(), { startTask });
}

async function pass(world: CrashWorld, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += TICK_MS) {
    await world.clock!.tickAsync(TICK_MS);
    if (performance.now() % HEARTBEAT_MS >= TICK_MS) continue;
    for (const worker of world.workers.values()) await worker.sendHeartbeat(world.leader!);
  }
}

After(async function disposeLeader(this: CrashWorld) {
  if (!this.crashingJob) return;
  await this.leader?.[Symbol.asyncDispose]();
  this.clock?.uninstall();
});

Given(
  'a leader with {int} workers of {int} cores that crash when they start the first task of {string}',
  async function start(this: CrashWorld, count: number, cores: number, job: string) {
    this.clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'],
    });
    this.state = new ClusterState();
    this.workers = new Map();
    this.crashingJob = job;
    this.starts = 0;
    const note = createTestNote();
    const command = {
      type: 'apply-note',
      note,
      contentHash: 'hash',
      by: 'operator-1',
      wallTime: 1,
    };
    this.state.apply({ index: 0, command });
    this.leader = new LeaderSession({
      instanceId: 'instance-1',
      instances: [{ id: 'instance-1', dataCentre: 'dc-1' }],
      log: new EagerCommitLog(this.state),
      state: this.state,
      scheduler: new FirstFitFifoScheduler(),
      endpointClient: createClient(this),
      health: new NoHealthPolicy(),
      metrics: new Metrics({ processMetrics: false }),
      timing: { gatewayValidityMs: 2000, endpointHeartbeatMs: HEARTBEAT_MS, endpointLeaseMs: 6000 },
      maxBatch: 100,
      logger: SILENT_LOG,
      isReachable: () => true,
    });
    for (let i = 1; i <= count; i += 1) {
      const worker = new CrashingWorker(`worker-${i}`, cores);
      this.workers.set(`worker-${i}`, worker);
      await worker.announce(this.leader);
    }
  },
);

When(
  'batch jobs {string} of {int} tasks are submitted together',
  TIMEOUT,
  async function submit(this: CrashWorld, names: string, tasks: number) {
    const size = { ...NO_RESOURCES, cpuMillis: CORE_CPU_MILLIS };
    const spec = { kind: 'batch' as const, queue: 'recomputation', work: 'metering', tasks, size };
    const submissions = names
      .split(', ')
      .map((id) => ({ id, keyId: 'laboratories-1', spec: { ...spec, noRepeat: false } }))
      .map((params) => this.leader!.jobs.submit(params));
    await pass(this, TICK_MS);
    await Promise.all(submissions);
  },
);

When('{int} ms of coordinator time pass', TIMEOUT, async function go(this: CrashWorld, ms: number) {
  await pass(this, ms);
});

Then('batch job {string} is {string}', function check(this: CrashWorld, id: string, state: string) {
  assert.equal(this.state.jobs.get(id)?.state, state);
});

Then('its first task was started at most {int} times', function check(this: CrashWorld, max) {
  assert.ok(this.starts >= 1 && this.starts <= max, `${this.starts} starts`);
});
