import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { AnnounceResult, EndpointStatus } from '@lagoongap/model/messages.js';
import type { JobSpec } from '@lagoongap/model/workload.js';
import type { CallRecord } from '@lagoongap/stand-in/callRecord.js';

import { CrashCell } from '../../harness/crashCell.js';

interface CrashWorld {
  crashCell?: CrashCell;
  request?: Promise<CallRecord>;
  /** Number of batch jobs that were submitted as innocent work. */
  batchJobs?: number;
}

const MS_PER_SECOND = 1000;
/** Limits the real time in which a step plays minutes on the paused clock. */
const STEP_TIMEOUT = { timeout: 60_000 };
const WORK_TIME_MS = 40 * MS_PER_SECOND;
/** Time after which a start order is certainly settled. */
const SETTLED_MS = 10 * MS_PER_SECOND;
/** Time without heartbeats after which an endpoint counts as silent; shorter than its lease. */
const SILENT_MS = 3800;
/** Time after which an interrupted endpoint is back at work. */
const RECOVERY_MS = 15 * MS_PER_SECOND;

After(async function disposeCell(this: CrashWorld) {
  await this.crashCell?.[Symbol.asyncDispose]();
  this.crashCell = undefined;
});

async function startCell(world: CrashWorld, runners: number, replicas: number): Promise<void> {
  world.crashCell = new CrashCell(runners, replicas);
  await world.crashCell.start();
}

function getLastEndpoint(world: CrashWorld, marker: string): string {
  return world.crashCell!.listStarts(marker).at(-1)!;
}

Given(
  'a cell with {int} endpoints',
  STEP_TIMEOUT,
  async function start(this: CrashWorld, runners: number) {
    await startCell(this, runners, 1);
  },
);

Given(
  'a cell with {int} endpoints and {int} replicas',
  STEP_TIMEOUT,
  async function start(this: CrashWorld, runners: number, replicas: number) {
    await startCell(this, runners, replicas);
  },
);

Given(
  'a crashed endpoint is back after {int} s',
  function setAbsence(this: CrashWorld, seconds: number) {
    this.crashCell!.absenceMs = seconds * MS_PER_SECOND;
  },
);

Given(
  '{int} batch jobs that run for {int} s',
  STEP_TIMEOUT,
  async function submitInnocent(this: CrashWorld, count: number, seconds: number) {
    const runMs = seconds * MS_PER_SECOND;
    for (let i = 0; i < count; i += 1) {
      this.batchJobs = (this.batchJobs ?? 0) + 1;
      await this.crashCell!.submit({ kind: 'batch', marker: `innocent-${this.batchJobs}`, runMs });
    }
  },
);

Given(
  'a batch job {string} with {int} tasks that run for {int} s',
  STEP_TIMEOUT,
  async function submitTasks(this: CrashWorld, marker: string, tasks: number, seconds: number) {
    const runMs = seconds * MS_PER_SECOND;
    await this.crashCell!.submit({ kind: 'batch', marker, tasks, runMs });
  },
);

Given(
  'a service {string}',
  STEP_TIMEOUT,
  async function submitService(this: CrashWorld, marker: string) {
    await this.crashCell!.submit({ kind: 'service', marker });
  },
);

When(
  /^a (batch|service|gang) job "([^"]+)" with (\d+) tasks? is submitted$/,
  STEP_TIMEOUT,
  async function submit(
    this: CrashWorld,
    kind: JobSpec['kind'],
    marker: string,
    tasks: string,
  ): Promise<void> {
    await this.crashCell!.submit({ kind, marker, tasks: Number(tasks) });
  },
);

When('a request {string} is sent', function sendRequest(this: CrashWorld, marker: string) {
  this.request = this.crashCell!.request(marker, 1000);
});

When(
  '{int} s pass in the cell',
  STEP_TIMEOUT,
  async function pass(this: CrashWorld, seconds: number) {
    await this.crashCell!.advance(seconds * MS_PER_SECOND);
  },
);

When('the leader of the cell fails', STEP_TIMEOUT, async function failLeader(this: CrashWorld) {
  await this.crashCell!.settle(this.crashCell!.cell.findLeader()!.kill());
});

When(
  'the endpoint of {string} crashes {int} times after 40 s of work',
  STEP_TIMEOUT,
  async function crashLate(this: CrashWorld, marker: string, times: number) {
    for (let i = 0; i < times; i += 1) {
      await this.crashCell!.advance(WORK_TIME_MS);
      this.crashCell!.crash(getLastEndpoint(this, marker));
      await this.crashCell!.advance(RECOVERY_MS);
    }
  },
);

When(
  'the endpoint of {string} crashes soon after its start',
  STEP_TIMEOUT,
  async function crashEarly(this: CrashWorld, marker: string) {
    await this.crashCell!.advance(MS_PER_SECOND);
    this.crashCell!.crash(getLastEndpoint(this, marker));
    await this.crashCell!.advance(RECOVERY_MS);
  },
);

When(
  'all endpoints crash at the same moment',
  STEP_TIMEOUT,
  async function crashAll(this: CrashWorld) {
    await this.crashCell!.advance(MS_PER_SECOND);
    for (const { announcement } of [...this.crashCell!.cell.endpoints.values()]) {
      this.crashCell!.crash(announcement.id);
    }
  },
);

When(
  'the endpoint of {string} leaves and restarts {int} times soon after its start',
  STEP_TIMEOUT,
  async function leave(this: CrashWorld, marker: string, times: number) {
    for (let i = 0; i < times; i += 1) {
      const endpoint = getLastEndpoint(this, marker);
      const cell = this.crashCell!;
      await cell.settle(cell.cell.call('endpoints.leave', { id: endpoint }));
      cell.crash(endpoint);
      await cell.advance(RECOVERY_MS);
    }
  },
);

When(
  /^the endpoint of "(\w+)" (leaves behind a partition|is partitioned until it seems silent) and its id is announced at another URL$/,
  STEP_TIMEOUT,
  async function move(this: CrashWorld, marker: string, event: string) {
    const id = getLastEndpoint(this, marker);
    const crashCell = this.crashCell!;
    const { cell } = crashCell;
    await crashCell.advance(SETTLED_MS);
    const isLeaving = event.startsWith('leaves');
    if (isLeaving) await crashCell.settle(cell.call('endpoints.leave', { id }));
    const endpoint = cell.endpoints.get(`http://${id}`)!;
    endpoint.isPartitioned = true;
    if (!isLeaving) await crashCell.advance(SILENT_MS);
    const announcement = { ...endpoint.announcement, url: 'http://moved' };
    const announce = cell.call<AnnounceResult>('endpoints.announce', { announcement });
    const result = await crashCell.settle(announce).catch(() => undefined);
    if (!result) return;
    const heartbeat = { session: result.session, running: [], finished: [] };
    await crashCell.settle(cell.call('endpoints.heartbeat', { id, heartbeat }));
  },
);

When(
  'the endpoint of {string} is partitioned until its lease expires {int} times',
  STEP_TIMEOUT,
  async function partition(this: CrashWorld, marker: string, times: number) {
    for (let i = 0; i < times; i += 1) {
      const endpoint = this.crashCell!.cell.endpoints.get(
        `http://${getLastEndpoint(this, marker)}`,
      )!;
      endpoint.isPartitioned = true;
      await this.crashCell!.advance(RECOVERY_MS);
      endpoint.isPartitioned = false;
      await this.crashCell!.advance(2 * MS_PER_SECOND);
    }
  },
);

Then(
  'the work {string} was started {int} time(s)',
  function checkStarts(this: CrashWorld, marker: string, count: number) {
    assert.equal(this.crashCell!.listStarts(marker).length, count);
  },
);

Then(
  'the work {string} was started at most {int} times',
  function checkMaxStarts(this: CrashWorld, marker: string, max: number) {
    const { length } = this.crashCell!.listStarts(marker);
    assert.ok(length >= 1 && length <= max, `started ${length} times`);
  },
);

Then(
  'the job {string} has failed with a message that names its crashed endpoints',
  STEP_TIMEOUT,
  async function checkFailed(this: CrashWorld, marker: string) {
    const job = await this.crashCell!.lookup(marker);
    assert.equal(job.state, 'failed');
    for (const endpoint of new Set(this.crashCell!.listStarts(marker))) {
      assert.ok(job.message?.includes(endpoint), `${job.message} does not name ${endpoint}`);
    }
  },
);

Then(
  'the job {string} is {string}',
  STEP_TIMEOUT,
  async function checkJob(this: CrashWorld, marker: string, state: string) {
    assert.equal((await this.crashCell!.lookup(marker)).state, state);
  },
);

Then(
  /^the endpoint of "([^"]+)" runs (no batch job|batch jobs)$/,
  function checkShared(this: CrashWorld, marker: string, expected: string) {
    const endpoint = getLastEndpoint(this, marker);
    const others = this.crashCell!.listRunning(endpoint).filter((own) => own !== marker);
    assert.equal(others.length > 0 ? 'batch jobs' : 'no batch job', expected);
  },
);

Then(
  /^the endpoint of "([^"]+)" is listed as (reserved|not reserved)$/,
  STEP_TIMEOUT,
  async function checkReserved(this: CrashWorld, marker: string, expected: string) {
    const cell = this.crashCell!;
    const endpoints = await cell.settle(cell.cell.call<EndpointStatus[]>('endpoints.list', {}));
    const endpoint = endpoints.find(({ id }) => id === getLastEndpoint(this, marker));
    assert.equal(endpoint?.reserved ? 'reserved' : 'not reserved', expected);
  },
);

Then(
  'each of the {int} batch jobs was started {int} times',
  function checkEach(this: CrashWorld, count: number, times: number) {
    for (let i = 1; i <= count; i += 1) {
      assert.equal(this.crashCell!.listStarts(`innocent-${i}`).length, times, `innocent-${i}`);
    }
  },
);

Then(
  'all {int} batch jobs have succeeded',
  STEP_TIMEOUT,
  async function checkInnocent(this: CrashWorld, count: number) {
    for (let i = 1; i <= count; i += 1) {
      const { state, message } = await this.crashCell!.lookup(`innocent-${i}`);
      assert.equal(state, 'succeeded', `innocent-${i} is ${state}: ${message}`);
    }
  },
);

Then(
  'the request is refused with {string} and run state {string}',
  STEP_TIMEOUT,
  async function checkRequest(this: CrashWorld, type: string, runState: string) {
    const { refusal } = await this.crashCell!.settle(this.request!);
    assert.equal(refusal?.type, type, refusal?.message);
    assert.equal(refusal?.runState, runState);
  },
);

Then(
  '{int} attempts are counted as lost in crashes',
  STEP_TIMEOUT,
  async function checkCount(this: CrashWorld, count: number) {
    const { metrics } = this.crashCell!.cell.findLeader()!;
    const { values } = await metrics.registry
      .getSingleMetric('lagoongap_crash_losses_total')!
      .get();
    const total = values.reduce((sum, { value }) => sum + value, 0);
    assert.equal(total, count);
  },
);
