import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { LeaderSession } from '@lagoongap/coordinator/leaderSession.js';
import type { EndpointAnnouncement } from '@lagoongap/model/endpoint.js';
import type { AcquireParams } from '@lagoongap/model/messages.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';

import type { ManualCommitLog } from '../../harness/manualCommitLog.js';
import { runEventLoop } from '../../harness/runEventLoop.js';

interface RunStateWorld {
  session: LeaderSession;
  log: ManualCommitLog;
  state: ClusterState;
  /** Session of the worker that announced itself. */
  endpointSession: string;
  /** Refusal of the call under test, once it is settled. */
  call: Promise<RefusalError | undefined>;
}

const SLOTS = 4;

/** Records the refusal of a call. */
function track(world: RunStateWorld, call: Promise<unknown>): void {
  world.call = call.then(
    () => undefined,
    (err: unknown) => {
      if (err instanceof RefusalError) return err;
      throw err;
    },
  );
}

function createAnnouncement(id: string): EndpointAnnouncement {
  return {
    id,
    kind: 'runner',
    url: 'http://127.0.0.1:1',
    size: { ...NO_RESOURCES, slots: SLOTS },
    rack: 'rack-1',
    dataCentre: 'dc-1',
    works: ['metering'],
    speed: 1,
    capabilities: [],
  };
}

async function acquire(world: RunStateWorld, slots: number): Promise<void> {
  const params: AcquireParams = {
    requestId: 'request-2',
    owner: 'instance-2:boot1',
    keyId: 'laboratories-1',
    queue: 'certificates',
    work: 'metering',
    size: { ...NO_RESOURCES, slots },
    noRepeat: false,
    deadlineMs: 10_000,
    excluded: [],
  };
  track(world, world.session.requests.acquire(params));
  await runEventLoop();
}

Given(
  'a batch task that runs on worker {string}',
  async function startTask(this: RunStateWorld, endpoint: string) {
    const announcement = { ...createAnnouncement(endpoint), kind: 'worker' as const };
    const announced = this.session.leases.announce(announcement);
    await runEventLoop();
    this.log.commitAll();
    this.endpointSession = (await announced).session;
    const attempt = {
      id: 'attempt-1',
      unitId: 'job-1',
      kind: 'batch',
      taskIndex: 0,
      team: 'laboratories',
      queue: 'recomputation',
      work: 'metering',
      endpointId: endpoint,
      size: NO_RESOURCES,
      noRepeat: false,
    };
    const spec = { kind: 'batch', queue: 'recomputation', work: 'metering', tasks: 1 };
    const job = { id: 'job-1', team: 'laboratories', spec: { ...spec, size: NO_RESOURCES } };
    for (const command of [
      { type: 'submit-jobs', jobs: [{ ...job, priority: 1 }], wallTime: 1 },
      { type: 'start-attempts', attempts: [attempt], wallTime: 1 },
    ]) {
      this.state.apply({ index: 1, command });
    }
    assert.ok(this.state.attempts.get(attempt.id));
  },
);

Given(
  'a call for a placement that is being committed',
  async function acquireCommitting(this: RunStateWorld) {
    await acquire(this, 1);
    assert.equal(this.log.pendingCount, 1);
  },
);

Given(
  'a call for a placement that waits for an endpoint',
  async function acquireWaiting(this: RunStateWorld) {
    const blocker = createAnnouncement('runner-1');
    this.session.leases.leave(blocker.id).catch(() => {});
    await runEventLoop();
    this.log.commitAll();
    await acquire(this, 1);
    assert.equal(this.log.pendingCount, 0);
  },
);

When(
  'runner {string} announces itself',
  async function announce(this: RunStateWorld, endpoint: string) {
    track(this, this.session.leases.announce(createAnnouncement(endpoint)));
    await runEventLoop();
  },
);

When(
  'worker {string} reports the end of the task',
  async function report(this: RunStateWorld, id: string) {
    const finished = [{ attempt: 'attempt-1', outcome: 'succeeded' as const }];
    const heartbeat = { session: this.endpointSession, running: [], finished };
    track(this, this.session.leases.handleHeartbeat({ id, heartbeat }));
    await runEventLoop();
    assert.equal(this.log.pendingCount, 1);
  },
);

When('leader validity ends', function endValidity(this: RunStateWorld) {
  this.log.endValidity();
});

When('the leader session ends', async function endSession(this: RunStateWorld) {
  await this.session[Symbol.asyncDispose]();
});

Then(
  'the call is refused with run state {string}',
  async function checkRunState(this: RunStateWorld, runState: string) {
    const err = await this.call;
    assert.equal(err?.refusal.runState, runState);
  },
);
