import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { Readable } from 'node:stream';

import { Then, When, type DataTable } from '@cucumber/cucumber';
import { createKey } from '@lagoongap/release-notes/accessKeys.js';
import type { CallAnswer } from '@lagoongap/stand-in/localCell.js';
import { request } from 'undici';

import { readAsOperator, settleWithin, TIMEOUT } from './cellSupport.js';
import type { CellWorld } from './cellWorld.js';

interface BadCall {
  method: string;
  path: string;
  key: string;
  body: string;
  status: string;
  message: string;
}

interface BadInputWorld extends CellWorld {
  badCalls: { call: BadCall; answer: CallAnswer | Error }[];
  before: unknown;
  check: { status: number | null; stderr: string };
}

const require = createRequire(import.meta.url);
const LARGE_BODY_BYTES = 5 * 1024 * 1024;
const PIECE_BYTES = 64 * 1024;
/** Together 20 MiB, far more than socket buffers hold after the refusal. */
const PIECES = 320;

function buildBody(text: string): string | undefined {
  if (text === '') return undefined;
  if (text === '<5 MiB>') return 'x'.repeat(LARGE_BODY_BYTES);
  const size = /^<endpoint with (\w+) (.+)>$/.exec(text);
  if (!size) return text;
  return `{"id":"bad","kind":"worker","url":"http://127.0.0.1:9","size":{"${size[1]}":${size[2]},
    "memoryMib":1},"rack":"r","dataCentre":"dc-1","works":["metering"]}`;
}

function findKey({ keys }: CellWorld, name: string): string | undefined {
  const secrets: Record<string, string> = {
    operator: keys.operator.secret,
    caller: keys.utilities.secret,
    endpoint: keys.endpoint.secret,
    unknown: createKey().secret,
  };
  return secrets[name];
}

/** Sends a body of unknown length, which is refused only after a part of it was read. */
async function sendPieces(world: CellWorld, { method, path, key }: BadCall): Promise<CallAnswer> {
  const pieces = Array.from({ length: PIECES }, () => Buffer.alloc(PIECE_BYTES, 'x'));
  const answer = await request(`${world.cell!.url('instance-1')}${path}`, {
    method: method as 'POST',
    headers: { authorization: `Bearer ${findKey(world, key)}` },
    body: Readable.from(pieces),
  });
  const { statusCode: status, headers } = answer;
  return { status, headers, body: await answer.body.json() };
}

async function send(world: CellWorld, call: BadCall): Promise<CallAnswer> {
  if (call.body === '<20 MiB in pieces>') return sendPieces(world, call);
  const { method, path, body } = call;
  const opts = { method, key: findKey(world, call.key), body: buildBody(body) };
  return world.cell!.call('instance-1', path, opts);
}

async function readAll(world: CellWorld): Promise<unknown> {
  const status = await readAsOperator(world, '/v1/status');
  const { number, waiting, running, waitingByQueue } = status;
  return {
    config: await readAsOperator(world, '/v1/config'),
    endpoints: await readAsOperator(world, '/v1/endpoints'),
    work: { number, waiting, running, waitingByQueue },
  };
}

When(
  'the bad calls are sent',
  TIMEOUT,
  async function sendBadCalls(this: BadInputWorld, table: DataTable) {
    this.before = await readAll(this);
    this.badCalls = [];
    for (const call of table.hashes() as unknown as BadCall[]) {
      const answer = await settleWithin(send(this, call), 10_000).catch((err: Error) => err);
      this.badCalls.push({ call, answer });
    }
  },
);

Then(
  'each answer is one error with its status, place and reason',
  function checkErrors(this: BadInputWorld) {
    const wrong = this.badCalls.flatMap(({ call, answer }) => {
      const where = `${call.method} ${call.path} with ${call.body}`;
      if (answer instanceof Error) return [`${where}: ${answer.message}`];
      const error = answer.body?.error;
      const isRight =
        answer.status === Number(call.status) &&
        error?.runState === 'not-run' &&
        String(error.message).includes(call.message);
      return isRight ? [] : [`${where}: ${answer.status} ${JSON.stringify(answer.body)}`];
    });
    assert.deepEqual(wrong, []);
  },
);

Then(
  'configuration, endpoints and queues are as before',
  TIMEOUT,
  async function checkUnchanged(this: BadInputWorld) {
    assert.deepEqual(await readAll(this), this.before);
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
  function checkExit(this: BadInputWorld, place: string) {
    assert.equal(this.check.status, 1, this.check.stderr);
    assert.ok(this.check.stderr.includes(place), this.check.stderr);
  },
);
