import assert from 'node:assert/strict';

import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { LeaderSession } from '@lagoongap/coordinator/leaderSession.js';
import type { EndpointAnnouncement, EndpointKind } from '@lagoongap/model/endpoint.js';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { verifyAuditTrail } from '@lagoongap/release-notes/auditTrail.js';
import type { EndpointClient } from '@lagoongap/routing/endpointClient.js';
import type { AttemptRef, HealthPolicy } from '@lagoongap/routing/healthPolicy.js';
import { NoHealthPolicy } from '@lagoongap/routing/noHealthPolicy.js';
import { FirstFitFifoScheduler } from '@lagoongap/scheduling/firstFitFifoScheduler.js';
import { ClusterState } from '@lagoongap/state/clusterState.js';
import { Metrics } from '@lagoongap/telemetry/metrics.js';

import { ManualCommitLog } from '../../harness/manualCommitLog.js';
import { createTestNote } from '../../harness/testCell.js';

interface Steps {
  evacuationSession?: LeaderSession;
  commits: ManualCommitLog;
  cluster: ClusterState;
  areCommitsDelayed: boolean;
  /** URLs of the endpoints that got a start order. */
  ordered: string[];
  failedEndpoints: string[];
  placedAt?: string;
}

const CORE_CPU_MILLIS = 1000;
const MAX_ITERATIONS = 20;
const WORKER_CORES = 4;
const RUNNER_SLOTS = 4;

/** Commits and runs the event loop until nothing is left to do. */
async function settle(steps: Steps): Promise<void> {
  for (let i = 0; i < MAX_ITERATIONS; i += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    if (!steps.areCommitsDelayed) steps.commits.commitAll();
  }
}

function createEndpoint(
  kind: EndpointKind,
  dataCentre: string,
  amount: number,
): EndpointAnnouncement {
  const isWorker = kind === 'worker';
  return {
    id: `${kind}-${dataCentre}`,
    kind,
    url: `http://${kind}.${dataCentre}`,
    size: isWorker
      ? { ...NO_RESOURCES, cpuMillis: amount * CORE_CPU_MILLIS }
      : { ...NO_RESOURCES, slots: amount },
    rack: 'rack-1',
    dataCentre,
    works: ['metering'],
    speed: 1,
    capabilities: [],
  };
}

async function announce(steps: Steps, endpoint: EndpointAnnouncement): Promise<void> {
  steps.evacuationSession!.leases.announce(endpoint).catch(() => {});
  await settle(steps);
}

function listOrdered({ ordered }: Steps, dataCentre: string): string[] {
  return ordered.filter((url) => url.endsWith(`.${dataCentre}`));
}

async function submit(steps: Steps, kind: string, tasks: number): Promise<void> {
  const isGang = kind === 'gang';
  steps
    .evacuationSession!.jobs.submit({
      id: 'job-1',
      keyId: 'laboratories-1',
      spec: {
        kind: isGang ? 'gang' : 'batch',
        queue: isGang ? 'bench-runs' : 'recomputation',
        work: 'metering',
        tasks,
        size: { ...NO_RESOURCES, cpuMillis: CORE_CPU_MILLIS },
        noRepeat: false,
      },
    })
    .catch(() => {});
  await settle(steps);
}

async function change(
  steps: Steps,
  operation: 'begin' | 'end',
  dataCentre: string,
  by: string,
): Promise<void> {
  const { evacuations } = steps.evacuationSession!;
  const { version } = evacuations.read();
  const response = evacuations[operation]({ dataCentre, version, by });
  await settle(steps);
  if (!steps.areCommitsDelayed) assert.deepEqual(await response, { type: 'accepted' });
}

After(async function dispose(this: Steps) {
  await this.evacuationSession?.[Symbol.asyncDispose]();
});

Given(
  'a leader with workers in {string} and {string} and a runner in each',
  async function start(this: Steps, first: string, second: string) {
    this.areCommitsDelayed = false;
    this.ordered = [];
    this.failedEndpoints = [];
    this.cluster = new ClusterState();
    this.commits = new ManualCommitLog(this.cluster);
    const command = { type: 'apply-note', contentHash: 'hash', by: 'operator-1', wallTime: 1 };
    this.cluster.apply({ index: 0, command: { ...command, note: createTestNote() } });
    const health: HealthPolicy = new NoHealthPolicy();
    health.recordFailure = ({ endpointId }: AttemptRef): void => {
      this.failedEndpoints.push(endpointId);
    };
    const endpointClient: Partial<EndpointClient> = {
      startTask: async (url, _, { beforeSend }) => {
        beforeSend?.();
        this.ordered.push(url);
        return 'started';
      },
    };
    this.evacuationSession = new LeaderSession({
      instanceId: 'instance-1',
      instances: [{ id: 'instance-1', dataCentre: first }],
      log: this.commits,
      state: this.cluster,
      scheduler: new FirstFitFifoScheduler(),
      endpointClient: endpointClient as EndpointClient,
      health,
      metrics: new Metrics({ processMetrics: false }),
      timing: { gatewayValidityMs: 2000, endpointHeartbeatMs: 60_000, endpointLeaseMs: 60_000 },
      maxBatch: 100,
      logger: SILENT_LOG,
      isReachable: () => true,
    });
    for (const dataCentre of [first, second]) {
      await announce(this, createEndpoint('worker', dataCentre, WORKER_CORES));
      await announce(this, createEndpoint('runner', dataCentre, RUNNER_SLOTS));
    }
  },
);

Given('the commits of the leader are delayed', function delay(this: Steps) {
  this.areCommitsDelayed = true;
});

When('the leader commits again', async function commit(this: Steps) {
  this.areCommitsDelayed = false;
  await settle(this);
});

When(
  /^operator "(.+)" (evacuates|ends the evacuation of) "([^"]+)"$/,
  async function evacuate(this: Steps, by: string, operation: string, dataCentre: string) {
    await change(this, operation === 'evacuates' ? 'begin' : 'end', dataCentre, by);
  },
);

When(
  'operator {string} evacuates {string} right after the placement',
  async function evacuate(this: Steps, by: string, dataCentre: string) {
    // Applied right after the placement, before the leader has acted on that.
    await change(this, 'begin', dataCentre, by);
  },
);

When(
  'a job of {int} tasks is submitted to the leader',
  async function submitJob(this: Steps, tasks: number) {
    await submit(this, 'job', tasks);
  },
);

When(
  /^a (job|gang) of (\d+) tasks is submitted to the leader while nothing else has room$/,
  async function submitWork(this: Steps, kind: string, tasks: string) {
    this.areCommitsDelayed = false;
    await announce(this, createEndpoint('worker', 'dc-2', 1));
    this.areCommitsDelayed = true;
    await submit(this, kind, Number(tasks));
    // Commits the submission, so that the placement is decided and waits for its own commit.
    this.commits.commitAll();
    await settle(this);
    assert.equal(this.commits.pendingCount, 1);
  },
);

When(
  'a request is acquired while only {string} has room',
  async function acquire(this: Steps, dataCentre: string) {
    const other = dataCentre === 'dc-1' ? 'dc-2' : 'dc-1';
    this.areCommitsDelayed = false;
    await announce(this, createEndpoint('runner', other, 0));
    this.areCommitsDelayed = true;
    this.evacuationSession!.requests.acquire({
      requestId: 'request-1',
      owner: 'instance-2:boot1',
      keyId: 'laboratories-1',
      queue: 'certificates',
      work: 'metering',
      size: { ...NO_RESOURCES, slots: 1 },
      noRepeat: false,
      deadlineMs: 10_000,
      excluded: [],
    })
      .then(({ url }) => {
        this.placedAt = url;
      })
      .catch(() => {});
    await settle(this);
    assert.equal(this.commits.pendingCount, 1);
  },
);

When('the runner in {string} gets room', async function grow(this: Steps, dataCentre: string) {
  await announce(this, createEndpoint('runner', dataCentre, RUNNER_SLOTS));
});

Then(
  /^(\d+) tasks were ordered(?:, all in "(.+)")?$/,
  function check(this: Steps, count: string, dataCentre: string | null) {
    const ordered = dataCentre ? listOrdered(this, dataCentre) : this.ordered;
    assert.equal(ordered.length, Number(count));
    assert.equal(this.ordered.length, Number(count));
  },
);

Then('no task was ordered in {string}', function check(this: Steps, dataCentre: string) {
  assert.deepEqual(listOrdered(this, dataCentre), []);
});

Then('no endpoint has failed', function check(this: Steps) {
  assert.deepEqual(this.failedEndpoints, []);
});

Then('the request was placed in {string}', function check(this: Steps, dataCentre: string) {
  assert.equal(this.placedAt, `http://runner.${dataCentre}`);
});

Then('the latest entries of the audit trail are', function check(this: Steps, table: DataTable) {
  const rows = table.hashes();
  const entries = this.cluster.configTable.auditTrail.slice(-rows.length);
  assert.deepEqual(
    entries.map(({ by, summary }) => ({ by, summary })),
    rows,
  );
});

Then('the audit trail of the state is intact', function check(this: Steps) {
  assert.equal(verifyAuditTrail([...this.cluster.configTable.auditTrail]), undefined);
});

Then(
  /^a state restored from (its snapshot|a snapshot of the release before) has (\d+) evacuations$/,
  function check(this: Steps, kind: string, count: string) {
    const snapshot = structuredClone(this.cluster.snapshot()) as { evacuations?: unknown };
    if (kind !== 'its snapshot') delete snapshot.evacuations;
    const restored = new ClusterState();
    restored.restore(snapshot);
    assert.equal(restored.evacuations.list().length, Number(count));
  },
);
