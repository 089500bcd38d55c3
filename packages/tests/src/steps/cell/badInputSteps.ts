import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { Readable } from 'node:stream';

import { Then, When, type DataTable } from '@cucumber/cucumber';
import { createKey } from '@lagoongap/release-notes/accessKeys.js';
import type { CallResponse } from '@lagoongap/stand-in/localCell.js';
import { request } from 'undici';

import { fetchAsOperator, settleWithin, TIMEOUT } from './cellSupport.js';
import type { CellWorld } from './cellWorld.js';

interface InvalidCall {
  method: string;
  path: string;
  key: string;
  body: string;
  status: string;
  message: string;
}

interface BadInputWorld extends CellWorld {
  invalidCalls: { call: InvalidCall; answer: CallResponse | Error }[];
  before: unknown;
  check: { status: number | null; stderr: string };
}

const require = createRequire(import.meta.url);
const LARGE_BODY_BYTES = 5 * 1024 * 1024;
const CHUNK_BYTES = 64 * 1024;
/** Sends 20 MiB in total, far more than the socket buffers accept after the refusal. */
const CHUNK_COUNT = 320;

function buildBody(text: string): string | undefined {
  if (text === '') return undefined;
  if (text === '<5 MiB>') return 'x'.repeat(LARGE_BODY_BYTES);
  const size = /^<endpoint with (\w+) (.+)>$/.exec(text);
  if (!size) return text;
  return `{"id":"bad","kind":"worker","url":"http://127.0.0.1:9","size":{"${size[1]}":${size[2]},
    "memoryMib":1},"rack":"r","dataCentre":"dc-1","works":["metering"]}`;
}

function getSecret({ keys }: CellWorld, name: string): string | undefined {
  const secrets: Record<string, string> = {
    operator: keys.operator.secret,
    caller: keys.utilities.secret,
    endpoint: keys.endpoint.secret,
    unknown: createKey().secret,
  };
  return secrets[name];
}

/** Sends a body of unknown length, which can be refused only after a part of it was read. */
async function sendChunked(
  world: CellWorld,
  { method, path, key }: InvalidCall,
): Promise<CallResponse> {
  const chunks = Array.from({ length: CHUNK_COUNT }, () => Buffer.alloc(CHUNK_BYTES, 'x'));
  const response = await request(`${world.cell!.url('instance-1')}${path}`, {
    method: method as 'POST',
    headers: { authorization: `Bearer ${getSecret(world, key)}` },
    body: Readable.from(chunks),
  });
  const { statusCode: status, headers } = response;
  return { status, headers, body: await response.body.json() };
}

async function send(world: CellWorld, call: InvalidCall): Promise<CallResponse> {
  if (call.body === '<20 MiB in chunks>') return sendChunked(world, call);
  const { method, path, body } = call;
  const opts = { method, key: getSecret(world, call.key), body: buildBody(body) };
  return world.cell!.call('instance-1', path, opts);
}

async function readClusterState(world: CellWorld): Promise<unknown> {
  const status = await fetchAsOperator(world, '/v1/status');
  const { number, waiting, running, waitingByQueue } = status;
  return {
    config: await fetchAsOperator(world, '/v1/config'),
    endpoints: await fetchAsOperator(world, '/v1/endpoints'),
    work: { number, waiting, running, waitingByQueue },
  };
}

When(
  'the invalid calls are sent',
  TIMEOUT,
  async function sendInvalidCalls(this: BadInputWorld, table: DataTable) {
    this.before = await readClusterState(this);
    this.invalidCalls = [];
    for (const call of table.hashes() as unknown as InvalidCall[]) {
      const answer = await settleWithin(send(this, call), 10_000).catch((err: Error) => err);
      this.invalidCalls.push({ call, answer });
    }
  },
);

Then(
  'each response is one error with its status, location and reason',
  function checkErrors(this: BadInputWorld) {
    const mismatches = this.invalidCalls.flatMap(({ call, answer }) => {
      const description = `${call.method} ${call.path} with ${call.body}`;
      if (answer instanceof Error) return [`${description}: ${answer.message}`];
      const error = answer.body?.error;
      const isExpected =
        answer.status === Number(call.status) &&
        error?.runState === 'not-run' &&
        String(error.message).includes(call.message);
      return isExpected ? [] : [`${description}: ${answer.status} ${JSON.stringify(answer.body)}`];
    });
    assert.deepEqual(mismatches, []);
  },
);

Then(
  'configuration, endpoints and queues are unchanged',
  TIMEOUT,
  async function checkUnchanged(this: BadInputWorld) {
    assert.deepEqual(await readClusterState(this), this.before);
  },
);

When(/^a daemon checks the settings ([^]+)$/, function checkSettings(this: BadInputWorld, text) {
  const folder = mkdtempSync(join(tmpdir(), 'lagoongap-'));
  const file = join(folder, 'settings.toml');
  writeFileSync(file, text);
  const lib = dirname(require.resolve('@lagoongap/daemon/daemon.js'));
  const script = join(lib, '..', 'bin', 'lagoongapd.js');
  const args = [script, '--config', file, '--check'];
  this.check = spawnSync(process.execPath, args, { encoding: 'utf8', timeout: 20_000 });
  rmSync(folder, { recursive: true, force: true });
});

Then(
  'it exits with an error that names {string}',
  function checkExit(this: BadInputWorld, location: string) {
    assert.equal(this.check.status, 1, this.check.stderr);
    assert.ok(this.check.stderr.includes(location), this.check.stderr);
  },
);
