import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { request } from 'undici';

import { createConfig } from '../../platform/documents.js';
import { PlatformCell } from '../../platform/platformCell.js';

interface CellWorld {
  cell: PlatformCell;
  document: string;
}

const HOST = 'jobs.example';
const POLL_MS = 50;
const RETRY_MS = 100;
const MAX_TRIES = 100;
const STEP_OPTIONS = { timeout: 30_000 };

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function sendJobRequest(
  { cell }: CellWorld,
  method: 'GET' | 'POST',
  path: string,
  key: string,
  body?: unknown,
): Promise<{ status: number; state?: string }> {
  const { statusCode, body: responseBody } = await request(`http://${cell.callers}${path}`, {
    method,
    headers: { host: HOST, authorization: `Bearer ${key}` },
    body: body === undefined ? null : JSON.stringify(body),
  });
  const { state } = (await responseBody.json()) as { state?: string };
  return { status: statusCode, state };
}

After(STEP_OPTIONS, async function disposeCell(this: CellWorld) {
  await this.cell?.[Symbol.asyncDispose]();
});

Given(
  'a cell of the platform with {int} replicas and a gateway',
  STEP_OPTIONS,
  async function startCell(this: CellWorld, count: number) {
    this.cell = new PlatformCell();
    await this.cell.start(count);
  },
);

Given('{int} endpoints of the platform', async function addEndpoints(this: CellWorld, count) {
  await this.cell.addEndpoints(count);
});

When(
  'the operator sends configuration {int}',
  STEP_OPTIONS,
  async function configure(this: CellWorld, version: number) {
    const document = JSON.stringify(createConfig(version));
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const control = this.cell.controlAddresses[tries % this.cell.controlAddresses.length];
      const url = `http://${control}/-/config`;
      const res = await request(url, { method: 'PUT', body: document });
      await res.body.dump();
      if (res.statusCode === 200) {
        this.document ??= document;
        return;
      }
      await pause(RETRY_MS);
    }
    assert.fail('no replica accepted the configuration');
  },
);

When(
  'a caller submits job {string} of {int} tasks with key {string}',
  async function submit(this: CellWorld, id: string, count: number, key: string) {
    const body = { task_spec: 'text', steps: [{ count, cpu: 1000, mem_mb: 10, estimate_ms: 50 }] };
    const { status } = await sendJobRequest(this, 'POST', `/first/${id}`, key, body);
    assert.equal(status, 200);
  },
);

When('the leading replica stops', STEP_OPTIONS, async function stopLeader(this: CellWorld) {
  await this.cell.stopLeader();
});

When(
  /^the operator (begins|ends) the evacuation of "(.*)" at replica (\d)$/,
  STEP_OPTIONS,
  async function evacuate(this: CellWorld, operation: string, name: string, replica: string) {
    const method = operation === 'begins' ? 'POST' : 'DELETE';
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const control = this.cell.controlAddresses[Number(replica) - 1];
      const res = await request(`http://${control}/-/evacuations/${name}`, { method });
      await res.body.dump();
      if (res.statusCode === 200) return;
      await pause(RETRY_MS);
    }
    assert.fail('the call was not acknowledged');
  },
);

When('all replicas restart', STEP_OPTIONS, async function restart(this: CellWorld) {
  await this.cell.restartReplicas();
});

When('{int} s pass', STEP_OPTIONS, async (seconds: number) => {
  await pause(seconds * 1000);
});

Then('the endpoints started no task', function checkNoStart(this: CellWorld) {
  assert.deepEqual(
    this.cell.endpoints.flatMap((endpoint) => endpoint.starts),
    [],
  );
});

Then(
  'the job {string} becomes {string} within {int} s',
  STEP_OPTIONS,
  async function awaitState(this: CellWorld, id: string, expected: string, seconds: number) {
    const endMs = performance.now() + seconds * 1000;
    let state: string | undefined;
    while (state !== expected && performance.now() < endMs) {
      ({ state } = await sendJobRequest(this, 'GET', `/first/${id}`, 'key-1'));
      await pause(POLL_MS);
    }
    assert.equal(state, expected);
  },
);

Then(
  'the endpoints started {int} tasks, each with a ticket',
  function checkStarts(this: CellWorld, count: number) {
    const starts = this.cell.endpoints.flatMap((endpoint) => endpoint.starts);
    assert.equal(starts.length, count);
    for (const { ticket } of starts) assert.match(ticket!, /^ticket-/);
  },
);

Then('a caller with key {string} gets status {int}', async function check(this: CellWorld, key, s) {
  assert.equal((await sendJobRequest(this, 'GET', '/first/x', key)).status, s);
});

Then('a call without a queue gets status {int}', async function check(this: CellWorld, status) {
  assert.equal((await sendJobRequest(this, 'GET', '/nowhere/x', 'key-1')).status, status);
});

Then(
  'each replica returns the configuration as it was first sent',
  async function checkConfiguration(this: CellWorld) {
    for (const control of this.cell.controlAddresses) {
      const { body } = await request(`http://${control}/-/config`);
      assert.equal(await body.text(), this.document);
    }
  },
);
