import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { After, Before, Given, Then, When } from '@cucumber/cucumber';
import type { RunningReport } from '@lagoongap/model/endpoint.js';
import { parseHeartbeatResponse } from '@lagoongap/stand-in/gatewayResponses.js';
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

const WAIT_TIMEOUT_MS = 4000;

/** Tolerance for the time at which a task is stopped on a busy machine. */
const LEASE_TOLERANCE_MS = 150;

const SIZE = { cpuMillis: 1000, memoryMib: 100, accelerators: 0, slots: 0 };

const STAND_IN_SCRIPT = fileURLToPath(import.meta.resolve('@lagoongap/stand-in/runStandIn.js'));

let world: StandInWorld;

Before(() => {
  world = {} as StandInWorld;
});

After(async () => {
  for (const cleanUp of world.standInCleanUps ?? []) await cleanUp();
});

async function waitUntil(condition: () => boolean, awaited: string): Promise<void> {
  const endsAtMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    assert.ok(performance.now() < endsAtMs, `awaited: ${awaited}`);
    await delay(5);
  }
}

async function startStandIn(behaviour: object): Promise<void> {
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

async function sendOrder(attempt: string, token: number, payload: object): Promise<number> {
  const task = { attempt, token, job: 'job', taskIndex: 0, team: 'team', work: 'echo' };
  const order = { ...task, size: SIZE, leaseMs: world.gateway.leaseMs, payload };
  const res = await request(`${world.endpoint.url}/tasks`, {
    method: 'POST',
    body: JSON.stringify(order),
  });
  await res.body.dump();
  return res.statusCode;
}

function findRunning(attempt: string): RunningReport | undefined {
  return world.gateway
    .listHeartbeats()
    .flatMap(({ running }) => running)
    .find((report) => report.attempt === attempt);
}

function countReports(attempt: string, outcome: string): number {
  return world.gateway
    .listHeartbeats()
    .filter(({ finished }) => finished.some((f) => f.attempt === attempt && f.outcome === outcome))
    .length;
}

/** Returns the largest number of concurrent attempts of one task. */
function findMaxConcurrentRuns(history: HistoryEvent[]): number {
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
  async (leaseMs: number, heartbeatMs: number) => {
    world.gateway = new ScriptedGateway(leaseMs, heartbeatMs);
    world.standInCleanUps = [() => world.gateway[Symbol.asyncDispose]()];
    world.history = [];
    await world.gateway.start();
    world.gateways = [world.gateway.url];
  },
);

Given('the first gateway in the list of the stand-in refuses connections', async () => {
  const closedGateway = new ScriptedGateway(1, 1);
  await closedGateway.start();
  world.gateways.unshift(closedGateway.url);
  await closedGateway[Symbol.asyncDispose]();
});

Given('the gateway acknowledges only the third report of an attempt', () => {
  const counts = new Map<string, number>();
  world.gateway.script = ({ finished }) => {
    for (const { attempt } of finished) counts.set(attempt, (counts.get(attempt) ?? 0) + 1);
    const acknowledged = [...counts].filter(([, reports]) => reports >= 3).map(([id]) => id);
    return { change: { acknowledged } };
  };
});

When('the stand-in is started', async () => startStandIn({}));

When('the stand-in is started with {string}', async (json) => startStandIn(JSON.parse(json)));

When('the gateway responds to one heartbeat with status {int}', (status: number) => {
  let heartbeats = 0;
  world.gateway.script = () => {
    heartbeats += 1;
    return heartbeats === 1 ? { status } : {};
  };
});

When(
  'a task that runs {int} ms is started as {string} with token {int}',
  async (runMs: number, attempt: string, token: number) =>
    assert.equal(await sendOrder(attempt, token, { runMs }), 201),
);

When(
  'a service is started as {string} with token {int}',
  async (attempt: string, token: number) => {
    assert.equal(await sendOrder(attempt, token, {}), 201);
    await waitUntil(() => findRunning(attempt) !== undefined, 'service in a heartbeat');
  },
);

When('the gateway stops accepting heartbeats', () => {
  world.gateway.script = () => ({ status: 503 });
});

When(
  'the gateway responds to the next heartbeat {int} ms late and rejects all others',
  (delayMs: number) => {
    let heartbeats = 0;
    world.gateway.script = () => {
      heartbeats += 1;
      return heartbeats === 1 ? { delayMs } : { status: 503 };
    };
  },
);

When('the gateway responds to heartbeats with {string}', (text) => {
  world.gateway.script = () => ({ text });
});

When('the gateway orders to {word} {string}', (action: 'stop' | 'checkpoint', attempt: string) => {
  let isSent = false;
  world.gateway.script = () => {
    const actions = isSent ? [] : [{ attempt, action }];
    isSent = true;
    return { change: { actions } };
  };
});

When('the stand-in leaves', async () => {
  await world.endpoint.leave(WAIT_TIMEOUT_MS);
  assert.equal(world.endpoint.runningCount, 0);
});

When('the stand-in is started as a process', () => {
  const args = [STAND_IN_SCRIPT, '--id', 'own', '--gateway', world.gateway.url, '--work', 'echo'];
  world.child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
  world.standInCleanUps.push(() => world.child.kill('SIGKILL'));
  world.lines = [];
  createInterface(world.child.stdout!).on('line', (line) => world.lines.push(JSON.parse(line)));
});

Then('the gateway has received its announcement with its key and URL', () => {
  const [call] = world.gateway.calls;
  assert.equal(call!.path, '/v1/endpoints');
  assert.equal(call!.authorization, 'Bearer endpoint-key');
  assert.equal(call!.body.url, world.endpoint.url);
});

Then('the gateway receives another announcement', async () =>
  waitUntil(() => world.gateway.session === 'session-2', 'second announcement'),
);

Then('later heartbeats carry the new session', async () => {
  const isNew = () => world.gateway.listHeartbeats().some(({ session }) => session === 'session-2');
  await waitUntil(isNew, 'heartbeat with the new session');
});

Then(
  /^the gateway has seen '(.*)' running with (?:(\d+) times )?its usage$/,
  async (attempt: string, factor: string | null) => {
    await waitUntil(() => findRunning(attempt) !== undefined, 'running attempt');
    const { usage } = findRunning(attempt)!;
    assert.equal(usage!.cpuMillis, SIZE.cpuMillis * Number(factor ?? 1));
  },
);

Then(
  'the gateway has received {int} reports that {string} has {string}',
  async (minCount: number, attempt: string, outcome: string) =>
    waitUntil(() => countReports(attempt, outcome) >= minCount, 'reports'),
);

Then('there is no further report of {string}', async (attempt) => {
  await delay(3 * world.gateway.heartbeatMs);
  assert.equal(countReports(attempt, 'succeeded'), 3);
});

Then(
  '{string} ends as {string} one lease after the last successful heartbeat was sent',
  async (attempt: string, outcome: string) => {
    const find = () => world.history.find((e) => e.type === 'end' && e.attempt === attempt);
    await waitUntil(() => find() !== undefined, 'end of the attempt');
    const end = find()!;
    const afterMs = end.atMs - world.gateway.lastSuccessMs;
    assert.equal(end.outcome, outcome);
    assert.ok(afterMs > world.gateway.leaseMs - LEASE_TOLERANCE_MS, `only ${afterMs} ms`);
    assert.ok(afterMs < world.gateway.leaseMs + LEASE_TOLERANCE_MS, `${afterMs} ms`);
  },
);

Then(
  'a start order as {string} with token {int} gets a response with status {int}',
  async (attempt: string, token: number, status: number) =>
    assert.equal(await sendOrder(attempt, token, {}), status),
);

Then(/^the history shows (the|no) task running twice concurrently$/, (which: string) =>
  assert.equal(findMaxConcurrentRuns(world.history), which === 'no' ? 1 : 2),
);

Then('a request to the stand-in gets a response with status {int}', async (status: number) => {
  const res = await sendRequest(world.endpoint.url, 'hello');
  assert.equal(res.statusCode, status);
  assert.equal(await res.body.text(), 'echo:hello');
});

Then('a request to the stand-in gets a response after {int} ms', async (leastMs: number) => {
  const startMs = performance.now();
  await (await sendRequest(world.endpoint.url, 'hello')).body.dump();
  assert.ok(performance.now() - startMs >= leastMs - 1);
});

Then('a request to the stand-in is cut off', async () => {
  const res = await sendRequest(world.endpoint.url, 'hello');
  let received = 0;
  await assert.rejects(async () => {
    for await (const chunk of res.body) received += chunk.length;
  });
  assert.equal(received, 1);
});

Then('a request to the stand-in gets no response but is listed as running', async () => {
  await assert.rejects(sendRequest(world.endpoint.url, 'hello'));
  await waitUntil(() => findRunning('r1') !== undefined, 'running request');
  await waitUntil(() => world.endpoint.runningCount === 0, 'end with the connection');
});

Then('the gateway has received its leave request', () =>
  assert.ok(world.gateway.calls.some(({ path }) => path === '/v1/endpoints/endpoint-1/leave')),
);

Then('its first output line contains its URL after the gateway has accepted it', async () => {
  await waitUntil(() => world.lines.length > 0, 'first line');
  assert.equal(world.lines[0].type, 'ready');
  assert.equal(world.lines[0].url, world.gateway.calls[0]!.body.url);
});

Then('a request to its URL adds a start and an end to its output', async () => {
  await (await sendRequest(world.lines[0].url, '{"marker":"m1"}')).body.dump();
  await waitUntil(() => world.lines.length === 3, 'start and end');
  assert.deepEqual(
    world.lines.slice(1).map(({ type, marker }) => [type, marker]),
    [
      ['start', 'm1'],
      ['end', 'm1'],
    ],
  );
  assert.ok(world.lines[2].monotonicMs >= world.lines[1].monotonicMs);
});

Then('the process leaves and exits on SIGTERM', async () => {
  const exited = once(world.child, 'exit');
  world.child.kill('SIGTERM');
  assert.deepEqual(await exited, [0, null]);
  assert.ok(world.gateway.calls.some(({ path }) => path.endsWith('/leave')));
});

Then('the parser accepts exactly the valid heartbeat responses', () => {
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
  fc.assert(
    fc.property(valid, (response) => assert.deepEqual(parseHeartbeatResponse(response), response)),
  );
  const wrong = fc.jsonValue().filter((value) => typeof value !== 'number');
  fc.assert(
    fc.property(
      valid,
      wrong,
      fc.constantFrom('leaseMs', 'action', 'acknowledged'),
      (a, v, part) => {
        const broken: Record<string, unknown> = { ...a };
        if (part === 'leaseMs') broken.leaseMs = v;
        if (part === 'action') broken.actions = [...a.actions, { attempt: 'a', action: v }];
        if (part === 'acknowledged') broken.acknowledged = [...a.acknowledged, [v]];
        assert.equal(parseHeartbeatResponse(broken), undefined);
      },
    ),
  );
  fc.assert(fc.property(fc.jsonValue(), (value) => parseHeartbeatResponse(value) === undefined));
});
