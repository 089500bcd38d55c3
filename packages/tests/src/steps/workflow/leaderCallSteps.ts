import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { MemberList } from '@lagoongap/daemon/memberList.js';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import type { RefusalType, RunState } from '@lagoongap/model/refusal.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';

import { CallWorld, type ObservedCall } from '../../workflow/callWorld.js';

interface Steps {
  callWorld?: CallWorld;
  call: ObservedCall;
  restoreRandom?: () => void;
}

/** Highest value of a random number, for the longest pauses. */
const MAX_RANDOM = 0.999;

const SETTLE_MS = 20;
const LEARN_MS = 1000;

After(async function dispose(this: Steps) {
  this.restoreRandom?.();
  await this.callWorld?.[Symbol.asyncDispose]();
});

Given('pauses between tries are as long as possible', function stubRandom(this: Steps) {
  const { random } = Math;
  Math.random = () => MAX_RANDOM;
  this.restoreRandom = () => {
    Math.random = random;
  };
});

Given('a gateway and the replicas {string}', async function create(this: Steps, ids: string) {
  await this.callWorld?.[Symbol.asyncDispose]();
  this.callWorld = new CallWorld(ids.split(' '));
  await this.callWorld.start();
});

Given('replica {string} leads', async function elect(this: Steps, id: string) {
  await this.callWorld!.elect(id);
});

Given('the gateway knows the leader', async function learn(this: Steps) {
  const call = this.callWorld!.observe(async () => {
    await this.callWorld!.client.call('config.read', {}, { deadlineMs: LEARN_MS });
    return 200;
  });
  await this.callWorld!.advance(LEARN_MS);
  assert.equal(call.status, 200);
});

Given(
  'job {string} has been accepted by replica {string}',
  async function accept(this: Steps, job: string, replica: string) {
    const call = this.callWorld!.submit(job, LEARN_MS);
    await this.callWorld!.advance(SETTLE_MS);
    this.callWorld!.log(replica).commitAll();
    await this.callWorld!.advance(SETTLE_MS);
    assert.equal(call.status, 200);
  },
);

Given(
  'the method {string} of all replicas refuses with {string} and run state {string}',
  function refuse(this: Steps, method: string, type: RefusalType, runState: RunState) {
    for (const id of this.callWorld!.replicaIds) {
      this.callWorld!.network(id).handle(method, () => {
        throw new RefusalError({ type, runState, message: 'refused' });
      });
    }
  },
);

Given(
  'the method {string} of all replicas fails once and then refuses with {string}',
  function failOnce(this: Steps, method: string, type: RefusalType) {
    let calls = 0;
    const handler = (): never => {
      calls += 1;
      if (calls === 1) throw new Error('failed after the change');
      throw new RefusalError({ type, runState: 'not-run', message: 'refused' });
    };
    for (const id of this.callWorld!.replicaIds)
      this.callWorld!.network(id).handle(method, handler);
  },
);

When(
  'a caller submits job {string} with a deadline of {int} ms',
  function submit(this: Steps, id: string, deadlineMs: number) {
    this.callWorld!.gateway.called.splice(0);
    this.call = this.callWorld!.submit(id, deadlineMs);
  },
);

When(
  'a caller cancels job {string} with a deadline of {int} ms',
  function cancel(this: Steps, id: string, deadlineMs: number) {
    this.call = this.callWorld!.cancel(id, deadlineMs);
  },
);

When(
  'an endpoint sends heartbeat {int} with a deadline of {int} ms',
  function send(this: Steps, sequence: number, deadlineMs: number) {
    this.call = this.callWorld!.sendHeartbeat(sequence, deadlineMs);
  },
);

When(
  'an endpoint sends a heartbeat to replica {string}, which repeats tries after {int} ms',
  function send(this: Steps, id: string, tryTimeoutMs: number) {
    this.call = this.callWorld!.sendHeartbeatTo(id, { deadlineMs: 900, tryTimeoutMs });
  },
);

Then('replica {string} called only itself', function check(this: Steps, id: string) {
  assert.deepEqual(this.callWorld!.network(id).called, [id]);
});

When(
  'the gateway calls {string} with a deadline of {int} ms',
  function call(this: Steps, method: string, deadlineMs: number) {
    this.call = this.callWorld!.observe(async () => {
      await this.callWorld!.client.call(method, {}, { deadlineMs });
      return 200;
    });
  },
);

When(
  'the gateway calls {string} with a deadline of {int} ms, which repeats tries after {int} ms',
  function call(this: Steps, method: string, deadlineMs: number, tryTimeoutMs: number) {
    this.call = this.callWorld!.observe(async () => {
      await this.callWorld!.client.call(method, {}, { deadlineMs, tryTimeoutMs });
      return 200;
    });
  },
);

Given(
  'the method {string} of replica {string} is never answered',
  function hold(this: Steps, method: string, id: string) {
    this.callWorld!.network(id).handle(method, () => new Promise(() => {}));
  },
);

Given(
  'the method {string} of replica {string} refuses with {string}',
  function refuseAt(this: Steps, method: string, id: string, type: RefusalType) {
    this.callWorld!.network(id).handle(method, () => {
      throw new RefusalError({ type, runState: 'not-run', message: 'refused' });
    });
  },
);

When('an operator sends configuration {int} to the leader', function send(this: Steps, version) {
  this.call = this.callWorld!.configure(version);
});

Given('no configuration has been accepted', function clear(this: Steps) {
  this.callWorld!.state.config = undefined;
});

When(
  /^all replicas restore a snapshot of (this|the previous) release$/,
  function restore(this: Steps, release: string) {
    const { state } = this.callWorld!;
    const snapshot = state.snapshot() as { config?: unknown; cancellations?: unknown };
    if (release === 'the previous') {
      snapshot.config ??= { version: 0, document: '' };
      delete snapshot.cancellations;
    }
    state.restore(JSON.parse(JSON.stringify(snapshot)));
  },
);

async function readDocument(steps: Steps, path: string): Promise<unknown> {
  const documents: unknown[] = [];
  steps.call = steps.callWorld!.callControl('GET', path, '', documents);
  await steps.callWorld!.advance(SETTLE_MS);
  return documents[0];
}

Then('the configuration read back is {string}', async function check(this: Steps, document) {
  assert.equal(await readDocument(this, '/-/config'), document);
  assert.equal(this.call.status, 200);
});

Then('no configuration can be read', async function check(this: Steps) {
  await readDocument(this, '/-/config');
  assert.equal(this.call.status, 503);
});

When('an operator opens wave {int} over no instances', function open(this: Steps, wave: number) {
  const body = JSON.stringify({ wave, machines: [], within_s: 1, max_count: 1 });
  this.call = this.callWorld!.callControl('POST', '/-/wave-start', body);
});

Then('wave {int} is {string}', async function check(this: Steps, wave: number, state: string) {
  assert.deepEqual(await readDocument(this, `/-/wave-get/${wave}`), { state });
});

When('{int} ms of the calls pass', async function pass(this: Steps, ms: number) {
  await this.callWorld!.advance(ms);
});

When('the validity of replica {string} ends', function end(this: Steps, id: string) {
  this.callWorld!.log(id).isValid = false;
});

When('replica {string} refuses proposals', function refuse(this: Steps, id: string) {
  this.callWorld!.log(id).refusesProposals = true;
});

When('replica {string} accepts proposals', function accept(this: Steps, id: string) {
  this.callWorld!.log(id).refusesProposals = false;
});

When('the endpoint is draining', function drain(this: Steps) {
  this.callWorld!.endpoint = { ...this.callWorld!.endpoint, isDraining: true };
});

When(
  'replica {string} commits its proposals every {int} ms for {int} ms',
  async function commit(this: Steps, id: string, intervalMs: number, durationMs: number) {
    for (let passedMs = 0; passedMs < durationMs; passedMs += intervalMs) {
      await this.callWorld!.advance(intervalMs);
      this.callWorld!.log(id).commitAll();
    }
    await this.callWorld!.advance(SETTLE_MS);
  },
);

When('replica {string} commits its proposals', function commit(this: Steps, id: string) {
  this.callWorld!.log(id).commitAll();
});

When(
  'replica {string} commits its proposals and is deposed',
  function end(this: Steps, id: string) {
    this.callWorld!.log(id).commitAll();
    this.callWorld!.depose(id);
  },
);

When(
  /^a committed configuration (closes its queue|removes its queue)$/,
  function changeConfig(this: Steps, change: 'closes its queue' | 'removes its queue') {
    this.callWorld!.changeConfig(change);
  },
);

When('replica {string} is deposed', function depose(this: Steps, id: string) {
  this.callWorld!.depose(id);
});

When('replica {string} becomes unresponsive', function pause(this: Steps, id: string) {
  this.callWorld!.transport.pause(id);
});

When('replica {string} responds again', function resume(this: Steps, id: string) {
  this.callWorld!.transport.resume(id);
});

Given('the gateway forgets the leader', function forget(this: Steps) {
  this.callWorld!.forgetLeader();
});

Given('the leader reports the members {string}', function report(this: Steps, ids: string) {
  for (const id of this.callWorld!.replicaIds) {
    this.callWorld!.network(id).handle('cell.members', () => ids.split(' '));
  }
});

When('the gateway reads the members', async function read(this: Steps) {
  const { replicaIds, client, dialled } = this.callWorld!;
  using members = new MemberList([...replicaIds], (id) => dialled.push(id));
  members.startPolling(client, SILENT_LOG);
  await this.callWorld!.advance(LEARN_MS);
});

Then('the gateway has dialled {string}', function check(this: Steps, ids: string) {
  assert.deepEqual([...new Set(this.callWorld!.dialled)], ids.split(' '));
});

When('replica {string} is disconnected', async function disconnect(this: Steps, id: string) {
  this.callWorld!.transport.isolate(id, [...this.callWorld!.replicaIds, 'g'], 'both');
});

Then('the caller got status {int}', function check(this: Steps, status: number) {
  assert.equal(this.call.error, undefined);
  assert.equal(this.call.status, status);
});

Then('the caller was not told that the call had no effect', function check(this: Steps) {
  assert.equal(this.call.error, undefined);
  assert.ok([200, 504].includes(this.call.status!), `status ${this.call.status}`);
});

Then('the caller got status {int} within {int} ms', function check(this: Steps, status, ms) {
  assert.equal(this.call.status, status);
  const elapsedMs = this.call.answeredMs! - this.call.sentMs;
  assert.ok(elapsedMs <= (ms as number), `${elapsedMs} ms`);
});

Then('the call is not answered', function check(this: Steps) {
  assert.equal(this.call.answeredMs, undefined);
});

Then('job {string} is stored', function check(this: Steps, id: string) {
  assert.ok(this.callWorld!.state.jobs.has(id));
});

Then('the last call was tried at most {int} time(s)', function check(this: Steps, max: number) {
  assert.ok(this.callWorld!.gateway.called.length <= max, this.callWorld!.gateway.called.join());
});

Then('the last call was sent to {string} once', function check(this: Steps, id: string) {
  const tries = this.callWorld!.gateway.called.filter((target) => target === id);
  assert.equal(tries.length, 1);
});

Then('the last call was not sent to {string}', function check(this: Steps, ids: string) {
  for (const id of ids.split(' ')) assert.ok(!this.callWorld!.gateway.called.includes(id), id);
});

Then('the stored endpoint is draining', function check(this: Steps) {
  const { endpoint, state } = this.callWorld!;
  assert.equal(state.endpoints.get(endpoint.id)?.isDraining, true);
});

Then('the call was refused with run state {string}', function check(this: Steps, runState: string) {
  assert.ok(this.call.error instanceof RefusalError, this.call.error?.message);
  assert.equal(this.call.error.refusal.runState, runState);
});
