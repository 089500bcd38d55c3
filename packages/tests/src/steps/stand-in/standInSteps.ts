import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { RunningReport } from '@lagoongap/model/endpoint.js';
import { parseHeartbeatAnswer } from '@lagoongap/stand-in/parseAnswer.js';
import { StandInEndpoint } from '@lagoongap/stand-in/standInEndpoint.js';
import type { HistoryEvent } from '@lagoongap/stand-in/standInOptions.js';
import fc from 'fast-check';
import { request } from 'undici';

import { ScriptedGateway } from './scriptedGateway.js';
import { createStandInOptions } from './standInFixture.js';

interface StandInWorld {
  gateway: ScriptedGateway;
  gateways: string[];
  endpoint: StandInEndpoint;
  history: (HistoryEvent & { atMs: number })[];
  child: ChildProcess;
  lines: any[];
  standInCleanUps: (() => unknown)[];
}

const WAIT_MS = 4000;

/** How much later than its lease a task may be stopped on a busy machine. */
const LEASE_SLACK_MS = 150;

const SIZE = { cpuMillis: 1000, memoryMib: 100, accelerators: 0, slots: 0 };

const RUN_STAND_IN = fileURLToPath(import.meta.resolve('@lagoongap/stand-in/runStandIn.js'));

After(async function cleanUpStandIn(this: Partial<StandInWorld>) {
  for (const cleanUp of this.standInCleanUps ?? []) await cleanUp();
});

async function waitUntil(condition: () => boolean, awaited: string): Promise<void> {
  const endsAtMs = performance.now() + WAIT_MS;
  while (!condition()) {
    assert.ok(performance.now() < endsAtMs, `awaited: ${awaited}`);
    await delay(5);
  }
}

async function startStandIn(world: StandInWorld, behaviour: object): Promise<void> {
  world.endpoint = new StandInEndpoint(
    createStandInOptions({
      gateways: world.gateways,
      behaviour,
      onHistory: (event) => world.history.push({ ...event, atMs: performance.now() }),
    }),
  );
  world.standInCleanUps.push(() => world.endpoint[Symbol.asyncDispose]());
  await world.endpoint.start();
}

async function sendOrder(
  world: StandInWorld,
  attempt: string,
  token: number,
  payload: object,
): Promise<number> {
  const task = { attempt, token, job: 'job', taskIndex: 0, team: 'team', work: 'echo' };
  const order = { ...task, size: SIZE, leaseMs: world.gateway.leaseMs, payload };
  const res = await request(`${world.endpoint.url}/tasks`, {
    method: 'POST',
    body: JSON.stringify(order),
  });
  await res.body.dump();
  return res.statusCode;
}

function findRunning(world: StandInWorld, attempt: string): RunningReport | undefined {
  return world.gateway
    .listHeartbeats()
    .flatMap(({ running }) => running)
    .find((report) => report.attempt === attempt);
}

function countReports(world: StandInWorld, attempt: string, outcome: string): number {
  return world.gateway
    .listHeartbeats()
    .filter(({ finished }) => finished.some((f) => f.attempt === attempt && f.outcome === outcome))
    .length;
}

/** Returns the largest number of attempts of one task that ran at a time. */
function findMostAtATime(history: HistoryEvent[]): number {
  const running = new Map<string, number>();
  let most = 0;
  for (const { type, task } of history) {
    running.set(task, (running.get(task) ?? 0) + (type === 'start' ? 1 : -1));
    most = Math.max(most, running.get(task)!);
  }
  return most;
}

async function sendRequest(url: string, text: string) {
  return request(`${url}/requests`, {
    method: 'POST',
    headers: { 'lagoongap-attempt': 'r1', 'lagoongap-token': '1' },
    body: text,
    headersTimeout: 300,
  });
}

Given(
  'a scripted gateway with a lease of {int} ms and heartbeats every {int} ms',
  async function startGateway(this: StandInWorld, leaseMs: number, heartbeatMs: number) {
    this.gateway = new ScriptedGateway(leaseMs, heartbeatMs);
    this.standInCleanUps = [() => this.gateway[Symbol.asyncDispose]()];
    this.history = [];
    await this.gateway.start();
    this.gateways = [this.gateway.url];
  },
);

Given(
  'the first gateway in the list of the stand-in refuses connections',
  async function addDeadGateway(this: StandInWorld) {
    const dead = new ScriptedGateway(1, 1);
    await dead.start();
    this.gateways.unshift(dead.url);
    await dead[Symbol.asyncDispose]();
  },
);

Given(
  'the gateway acknowledges only the third report of an attempt',
  function scriptLateAcknowledgement(this: StandInWorld) {
    const counts = new Map<string, number>();
    this.gateway.script = ({ finished }) => {
      for (const { attempt } of finished) counts.set(attempt, (counts.get(attempt) ?? 0) + 1);
      const acknowledged = [...counts].filter(([, reports]) => reports >= 3).map(([id]) => id);
      return { change: { acknowledged } };
    };
  },
);

When('the stand-in is started', async function start(this: StandInWorld) {
  await startStandIn(this, {});
});

When('the stand-in is started with {string}', async function startWith(this: StandInWorld, json) {
  await startStandIn(this, JSON.parse(json));
});

When(
  'the gateway answers one heartbeat with status {int}',
  function scriptStatus(this: StandInWorld, status: number) {
    let answered = 0;
    this.gateway.script = () => {
      answered += 1;
      return answered === 1 ? { status } : {};
    };
  },
);

When(
  'a task that runs {int} ms is started as {string} with token {int}',
  async function startTask(this: StandInWorld, runMs: number, attempt: string, token: number) {
    assert.equal(await sendOrder(this, attempt, token, { runMs }), 201);
  },
);

When(
  'a service is started as {string} with token {int}',
  async function startService(this: StandInWorld, attempt: string, token: number) {
    assert.equal(await sendOrder(this, attempt, token, {}), 201);
    await waitUntil(() => findRunning(this, attempt) !== undefined, 'service in a heartbeat');
  },
);

When('the gateway stops answering heartbeats', function scriptFailure(this: StandInWorld) {
  this.gateway.script = () => ({ status: 503 });
});

When(
  'the gateway answers the next heartbeat {int} ms late and no other',
  function scriptDelay(this: StandInWorld, delayMs: number) {
    let answered = 0;
    this.gateway.script = () => {
      answered += 1;
      return answered === 1 ? { delayMs } : { status: 503 };
    };
  },
);

When('the gateway answers heartbeats with {string}', function scriptText(this: StandInWorld, text) {
  this.gateway.script = () => ({ text });
});

When(
  'the gateway orders to {word} {string}',
  function scriptAction(this: StandInWorld, action: 'stop' | 'checkpoint', attempt: string) {
    let isSent = false;
    this.gateway.script = () => {
      const actions = isSent ? [] : [{ attempt, action }];
      isSent = true;
      return { change: { actions } };
    };
  },
);

When('the stand-in leaves', async function leave(this: StandInWorld) {
  await this.endpoint.leave(WAIT_MS);
  assert.equal(this.endpoint.runningCount, 0);
});

When('the stand-in is started as a process', function startProcess(this: StandInWorld) {
  const args = [RUN_STAND_IN, '--id', 'own', '--gateway', this.gateway.url, '--work', 'echo'];
  this.child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
  this.standInCleanUps.push(() => this.child.kill('SIGKILL'));
  this.lines = [];
  createInterface(this.child.stdout!).on('line', (line) => this.lines.push(JSON.parse(line)));
});

Then(
  'the gateway has got its announcement with its key and URL',
  function checkAnnouncement(this: StandInWorld) {
    const [call] = this.gateway.calls;
    assert.equal(call!.path, '/v1/endpoints');
    assert.equal(call!.authorization, 'Bearer endpoint-key');
    assert.equal(call!.body.url, this.endpoint.url);
  },
);

Then('the gateway gets another announcement', async function checkAgain(this: StandInWorld) {
  await waitUntil(() => this.gateway.session === 'session-2', 'second announcement');
});

Then('later heartbeats carry the new session', async function checkSession(this: StandInWorld) {
  const isNew = () => this.gateway.listHeartbeats().some(({ session }) => session === 'session-2');
  await waitUntil(isNew, 'heartbeat with the new session');
});

Then(
  /^the gateway has seen '(.*)' running with (?:(\d+) times )?its usage$/,
  async function checkUsage(this: StandInWorld, attempt: string, factor: string | null) {
    await waitUntil(() => findRunning(this, attempt) !== undefined, 'running attempt');
    const { usage } = findRunning(this, attempt)!;
    assert.equal(usage!.cpuMillis, SIZE.cpuMillis * Number(factor ?? 1));
  },
);

Then(
  'the gateway has got {int} reports that {string} has {string}',
  async function checkReports(this: StandInWorld, least: number, attempt: string, outcome: string) {
    await waitUntil(() => countReports(this, attempt, outcome) >= least, 'reports');
  },
);

Then(
  'there is no further report of {string}',
  async function checkNoReport(this: StandInWorld, attempt) {
    await delay(3 * this.gateway.heartbeatMs);
    assert.equal(countReports(this, attempt, 'succeeded'), 3);
  },
);

Then(
  '{string} ends as {string} one lease after the last answered heartbeat was sent',
  async function checkLeaseEnd(this: StandInWorld, attempt: string, outcome: string) {
    const find = () => this.history.find((e) => e.type === 'end' && e.attempt === attempt);
    await waitUntil(() => find() !== undefined, 'end of the attempt');
    const end = find()!;
    const afterMs = end.atMs - this.gateway.lastGoodMs;
    assert.equal(end.outcome, outcome);
    assert.ok(afterMs > this.gateway.leaseMs - LEASE_SLACK_MS, `only ${afterMs} ms`);
    assert.ok(afterMs < this.gateway.leaseMs + LEASE_SLACK_MS, `${afterMs} ms`);
  },
);

Then(
  'a start order as {string} with token {int} is answered with status {int}',
  async function checkOrder(this: StandInWorld, attempt: string, token: number, status: number) {
    assert.equal(await sendOrder(this, attempt, token, {}), status);
  },
);

Then(
  /^the history shows (the|no) task running twice at a time$/,
  function checkDoubled(this: StandInWorld, which: string) {
    assert.equal(findMostAtATime(this.history), which === 'no' ? 1 : 2);
  },
);

Then(
  'a request to the stand-in is answered with status {int}',
  async function checkStatus(this: StandInWorld, status: number) {
    const res = await sendRequest(this.endpoint.url, 'hello');
    assert.equal(res.statusCode, status);
    assert.equal(await res.body.text(), 'echo:hello');
  },
);

Then(
  'a request to the stand-in is answered after {int} ms',
  async function checkSlow(this: StandInWorld, leastMs: number) {
    const startMs = performance.now();
    await (await sendRequest(this.endpoint.url, 'hello')).body.dump();
    assert.ok(performance.now() - startMs >= leastMs - 1);
  },
);

Then('a request to the stand-in is cut off', async function checkCut(this: StandInWorld) {
  const res = await sendRequest(this.endpoint.url, 'hello');
  let received = 0;
  await assert.rejects(async () => {
    for await (const chunk of res.body) received += chunk.length;
  });
  assert.equal(received, 1);
});

Then(
  'a request to the stand-in is not answered but listed running',
  async function checkHang(this: StandInWorld) {
    await assert.rejects(sendRequest(this.endpoint.url, 'hello'));
    await waitUntil(() => findRunning(this, 'r1') !== undefined, 'running request');
    await waitUntil(() => this.endpoint.runningCount === 0, 'end with the connection');
  },
);

Then('the gateway has got its leave', function checkLeave(this: StandInWorld) {
  assert.ok(this.gateway.calls.some(({ path }) => path === '/v1/endpoints/endpoint-1/leave'));
});

Then(
  'its first line tells its URL after the gateway has accepted it',
  async function checkReady(this: StandInWorld) {
    await waitUntil(() => this.lines.length > 0, 'first line');
    assert.equal(this.lines[0].type, 'ready');
    assert.equal(this.lines[0].url, this.gateway.calls[0]!.body.url);
  },
);

Then(
  'a request to its URL leads to a start and an end in its output',
  async function checkOutput(this: StandInWorld) {
    await (await sendRequest(this.lines[0].url, '{"marker":"m1"}')).body.dump();
    await waitUntil(() => this.lines.length === 3, 'start and end');
    assert.deepEqual(
      this.lines.slice(1).map(({ type, marker }) => [type, marker]),
      [
        ['start', 'm1'],
        ['end', 'm1'],
      ],
    );
    assert.ok(this.lines[2].monotonicMs >= this.lines[1].monotonicMs);
  },
);

Then(
  'the process leaves and ends by itself on SIGTERM',
  async function checkTerm(this: StandInWorld) {
    const exited = once(this.child, 'exit');
    this.child.kill('SIGTERM');
    assert.deepEqual(await exited, [0, null]);
    assert.ok(this.gateway.calls.some(({ path }) => path.endsWith('/leave')));
  },
);

Then('parsing accepts exactly the valid heartbeat answers', () => {
  const action = fc.record(
    { attempt: fc.string(), action: fc.constantFrom('checkpoint', 'throttle', 'stop') },
    { noNullPrototype: true },
  );
  const valid = fc.record(
    {
      leaseMs: fc.integer({ min: 1 }),
      acknowledged: fc.array(fc.string()),
      actions: fc.array(action),
    },
    { noNullPrototype: true },
  );
  fc.assert(fc.property(valid, (answer) => assert.deepEqual(parseHeartbeatAnswer(answer), answer)));
  const wrong = fc.jsonValue().filter((value) => typeof value !== 'number');
  fc.assert(
    fc.property(
      valid,
      wrong,
      fc.constantFrom('leaseMs', 'action', 'acknowledged'),
      (a, v, part) => {
        const broken: Record<string, unknown> = { ...a };
        if (part === 'leaseMs') broken.leaseMs = v;
        if (part === 'action') broken.actions = [...a.actions, v];
        if (part === 'acknowledged') broken.acknowledged = [...a.acknowledged, [v]];
        assert.equal(parseHeartbeatAnswer(broken), undefined);
      },
    ),
  );
  fc.assert(fc.property(fc.jsonValue(), (value) => parseHeartbeatAnswer(value) === undefined));
});
