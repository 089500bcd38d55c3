import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { LeaderSession } from '@lagoongap/coordinator/leaderSession.js';
import { createId } from '@lagoongap/model/idGenerator.js';
import type { CancelResult } from '@lagoongap/model/messages.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import { EarlyCancellations } from '@lagoongap/state/earlyCancellations.js';
import FakeTimers from '@sinonjs/fake-timers';

import { createLeaderSession } from '../../harness/createLeaderSession.js';
import type { ManualCommitLog } from '../../harness/manualCommitLog.js';
import { runEventLoop } from '../../harness/runEventLoop.js';

interface Steps {
  session: LeaderSession;
  log: ManualCommitLog;
  state: ClusterState;
  wallClock?: ReturnType<typeof FakeTimers.install>;
  latest?: CancelResult;
  cancelError?: Error;
  unknownIds: string[];
}

const JOB_A = 'job-0123456789abcdef01234567';
const MS_PER_SECOND = 1000;

/** Part of the memory for jobs that cancellations of one team may take. */
const OWNER_FRACTION = 0.01;

async function cancel(steps: Steps, key: string, ids: string[]): Promise<void> {
  const params = { ids, keyId: key === '' ? undefined : key };
  steps.latest = undefined;
  steps.cancelError = undefined;
  (async () => {
    steps.latest = await steps.session.jobs.cancel(params);
  })().catch((err: Error) => {
    steps.cancelError = err;
  });
  await runEventLoop();
}

async function cancelUnknown(steps: Steps, key: string, count: number): Promise<void> {
  steps.unknownIds = Array.from({ length: count }, () => createId('job'));
  await cancel(steps, key, steps.unknownIds);
  steps.log.commitAll();
  await runEventLoop();
}

function restore({ state }: Steps, convert: (snapshot: { jobs: object }) => void): void {
  const snapshot = JSON.parse(JSON.stringify(state.snapshot())) as { jobs: object };
  convert(snapshot);
  state.restore(snapshot);
}

After(function restoreClock(this: Steps) {
  this.wallClock?.uninstall();
});

Given('the queue {string} is open', function open(this: Steps, name: string) {
  const queue = this.state.config.queues[name]!;
  Object.assign(queue, { open: true, chargedTeam: 'laboratories' });
});

Given(
  'room for {int} cancellations of unknown jobs by a team',
  async function limit(this: Steps, count: number) {
    this.wallClock = FakeTimers.install({ now: Date.now(), toFake: ['Date'] });
    const scope = { scope: 'team' as const, team: 'laboratories' };
    const cancellation = { ...scope, id: JOB_A, cancelledAt: 0 };
    const bytes = new EarlyCancellations().estimateBytes(cancellation);
    await this.session[Symbol.asyncDispose]();
    const { log, state } = this;
    const maxJobBytes = (count * bytes) / OWNER_FRACTION;
    this.session = createLeaderSession({ log, state, maxJobBytes });
  },
);

When('key {string} submits job A', async function submit(this: Steps, key: string) {
  const size = { ...NO_RESOURCES, cpuMillis: 100 };
  const spec = { kind: 'batch' as const, queue: 'recomputation', work: 'metering', tasks: 2 };
  const keyId = key === '' ? undefined : key;
  const params = { id: JOB_A, keyId, spec: { ...spec, size, noRepeat: false } };
  this.session.jobs.submit(params).catch(() => {});
  await runEventLoop();
});

When('key {string} cancels job A', async function cancelA(this: Steps, key: string) {
  await cancel(this, key, [JOB_A]);
});

When('key {string} cancels job {string}', async function cancelJob(this: Steps, key, id) {
  await cancel(this, key as string, [id as string]);
});

When('key {string} cancels {int} unknown job(s)', async function send(this: Steps, key, count) {
  await cancelUnknown(this, key as string, count as number);
});

When(
  'key {string} cancels {int} unknown jobs and then {int}',
  async function send(this: Steps, key: string, first: number, second: number) {
    await cancelUnknown(this, key, first);
    const firstIds = this.unknownIds;
    await cancelUnknown(this, key, second);
    this.unknownIds = [...firstIds, ...this.unknownIds];
  },
);

When('key {string} cancels the same jobs again', async function send(this: Steps, key: string) {
  await cancel(this, key, this.unknownIds);
  this.log.commitAll();
  await runEventLoop();
});

When('{int} s of wall time pass', function pass(this: Steps, seconds: number) {
  this.wallClock!.tick(seconds * MS_PER_SECOND);
});

When('the cluster state is restored from a snapshot', function restoreState(this: Steps) {
  restore(this, () => {});
});

When(
  'the cluster state is restored from a snapshot of the previous release',
  function restoreState(this: Steps) {
    restore(this, ({ jobs }) => {
      delete (jobs as { earlyCancellations?: unknown }).earlyCancellations;
    });
  },
);

When('a cancellation of the previous release is applied to job A', function apply(this: Steps) {
  const command = { type: 'cancel-jobs', jobs: [JOB_A], wallTime: 1 };
  this.state.apply({ index: 99, command });
});

Then('the cancelled job is reported as {string}', function check(this: Steps, state: string) {
  assert.equal(this.cancelError, undefined);
  assert.deepEqual(
    this.latest?.jobs.map((job) => job.state),
    [state],
  );
});

Then('{int} of the latest is/are reported as {string}', function check(this: Steps, count, state) {
  const matching = this.latest!.jobs.filter((job) => job.state === state);
  assert.equal(matching.length, count);
});

Then('the cancellation is not answered', function check(this: Steps) {
  assert.equal(this.latest, undefined);
  assert.equal(this.cancelError, undefined);
});

Then('the cancellation has failed', async function check(this: Steps) {
  await runEventLoop();
  assert.equal(this.latest, undefined);
  assert.ok(this.cancelError);
});

Then('job A is {string}', function check(this: Steps, state: string) {
  assert.equal(this.state.jobs.get(JOB_A)?.state, state);
});

Then('{int} unknown jobs are recorded as cancelled', function check(this: Steps, count: number) {
  assert.equal(this.state.jobs.earlyCancellations.size, count);
});
