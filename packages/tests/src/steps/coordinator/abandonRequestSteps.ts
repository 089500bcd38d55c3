import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { LeaderSession } from '@lagoongap/coordinator/leaderSession.js';
import type { EndpointAnnouncement } from '@lagoongap/model/endpoint.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { ClusterState } from '@lagoongap/state/clusterState.js';

import { createLeaderSession } from '../../harness/createLeaderSession.js';
import { ManualCommitLog } from '../../harness/manualCommitLog.js';
import { runEventLoop } from '../../harness/runEventLoop.js';
import { createTestNote } from '../../harness/testCell.js';

interface AbandonRequestWorld {
  session?: LeaderSession;
  log: ManualCommitLog;
  state: ClusterState;
  release: Promise<void>;
  outcome?: 'acknowledged' | 'refused';
}

const REQUEST_ID = 'request-1';
const OWNER = 'instance-2:boot1';
const MAX_ITERATIONS = 20;

/** Commits the proposals of the leader until none is pending. */
async function commitAllProposals(log: ManualCommitLog): Promise<void> {
  for (let i = 0; i < MAX_ITERATIONS; i += 1) {
    await runEventLoop();
    if (log.pendingCount === 0) return;
    log.commitAll();
  }
}

function createRunner(slots = 4): EndpointAnnouncement {
  return {
    id: 'runner-1',
    kind: 'runner',
    url: 'http://127.0.0.1:1',
    size: { ...NO_RESOURCES, slots },
    rack: 'rack-1',
    dataCentre: 'dc-1',
    works: ['metering'],
    speed: 1,
    capabilities: [],
  };
}

After(async function disposeSession(this: AbandonRequestWorld) {
  await this.session?.[Symbol.asyncDispose]();
  this.session = undefined;
});

Given('a leader whose commits are delayed', function startSession(this: AbandonRequestWorld) {
  this.state = new ClusterState();
  this.log = new ManualCommitLog(this.state);
  const note = createTestNote();
  this.state.apply({
    index: 0,
    command: { type: 'apply-note', note, contentHash: 'hash', by: 'operator-1', wallTime: 1 },
  });
  const announcement = createRunner();
  const command = { type: 'announce-endpoint', announcement, session: 'session-1' };
  this.state.apply({ index: 0, command });
  this.session = createLeaderSession({ log: this.log, state: this.state });
});

async function acquire({ session }: AbandonRequestWorld, requestId: string): Promise<void> {
  const params = {
    requestId,
    owner: OWNER,
    keyId: 'laboratories-1',
    queue: 'certificates',
    work: 'metering',
    size: { ...NO_RESOURCES, slots: 1 },
    noRepeat: false,
    deadlineMs: 10_000,
    excluded: [],
  };
  session!.requests.acquire(params).catch(() => {});
  await runEventLoop();
}

When(
  'the endpoint of 4 slots announces a size of {int} slot',
  async function announce(this: AbandonRequestWorld, slots: number) {
    this.session!.leases.announce(createRunner(slots)).catch(() => {});
    await runEventLoop();
  },
);

When('{int} requests are acquired', async function acquireMany(this: AbandonRequestWorld, count) {
  for (let i = 1; i <= count; i += 1) await acquire(this, `request-${i}`);
});

Then('{int} attempt was placed', function checkCount(this: AbandonRequestWorld, count: number) {
  assert.equal(this.state.attempts.size, count);
});

Given(
  'a request whose placement is being committed',
  async function acquirePlacement(this: AbandonRequestWorld) {
    await acquire(this, REQUEST_ID);
    assert.equal(this.log.pendingCount, 1);
  },
);

When('the gateway abandons the request', async function cancelRequest(this: AbandonRequestWorld) {
  const release = { requestId: REQUEST_ID, outcome: 'not-run' as const, final: true };
  this.session!.requests.release({ owner: OWNER, releases: [release] }).then(
    () => {
      this.outcome = 'acknowledged';
    },
    () => {
      this.outcome = 'refused';
    },
  );
  await runEventLoop();
});

When('the delayed commits succeed', async function commit(this: AbandonRequestWorld) {
  await commitAllProposals(this.log);
});

When('leadership is lost', async function loseLeadership(this: AbandonRequestWorld) {
  this.log.loseLeadership();
  await runEventLoop();
});

Then('abandoning is not acknowledged', function checkPending(this: AbandonRequestWorld) {
  assert.equal(this.outcome, undefined);
});

Then(
  'abandoning is acknowledged and no attempt is left',
  function checkClosed(this: AbandonRequestWorld) {
    assert.equal(this.outcome, 'acknowledged');
    assert.equal(this.state.attempts.size, 0);
  },
);

Then('abandoning is refused', function checkRefused(this: AbandonRequestWorld) {
  assert.equal(this.outcome, 'refused');
});
