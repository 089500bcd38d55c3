import assert from 'node:assert/strict';
import { readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';

import { Given, Then, When } from '@cucumber/cucumber';
import { createDemoKeys, createDemoNote } from '@lagoongap/stand-in/demo/demoNote.js';
import { LocalCell } from '@lagoongap/stand-in/localCell.js';

import type { CellWorld } from '../cell/cellWorld.js';

interface SecretWorld extends CellWorld {
  /** Status, headers and body of each response, by request. */
  responses: Record<string, string>;
}

const TIMEOUT = { timeout: 90_000 };

function listSecrets(world: SecretWorld): string[] {
  return Object.values(world.keys).map(({ secret }) => secret);
}

async function collect(
  world: SecretWorld,
  id: string,
  path: string,
  opts: Parameters<LocalCell['call']>[2] = {},
): Promise<void> {
  const response = await world.cell!.call(id, path, opts).catch((err: Error) => err.message);
  const name = `${id} ${opts.method ?? 'GET'} ${path} ${Object.keys(world.responses).length}`;
  Object.assign(world.responses, { [name]: JSON.stringify(response) });
}

/** Sends a secret as a key, and in fields where people put it by mistake. */
async function sendSecret(world: SecretWorld, id: string, secret: string): Promise<void> {
  const job = {
    kind: 'batch',
    queue: secret,
    work: 'metering',
    size: { cpuMillis: 1 },
    [secret]: secret,
  };
  const headers = { 'lagoongap-queue': 'certificates', 'lagoongap-work': 'metering' };
  const post = { method: 'POST', key: secret };
  await collect(world, id, '/v1/status', { key: secret });
  await collect(world, id, '/v1/config', { key: secret });
  await collect(world, id, '/v1/audit', { key: secret });
  await collect(world, id, '/v1/requests', { ...post, headers, body: '{}' });
  await collect(world, id, '/v1/jobs', { ...post, body: job });
  await collect(world, id, '/v1/jobs', { ...post, body: `{ ${secret}` });
  await collect(world, id, `/v1/jobs/${secret}`, { key: secret });
  await collect(world, id, `/v1/jobs/none?waitMs=${secret}`, { key: secret });
  await collect(world, id, `/${secret}?key=${secret}`, {});
  await collect(world, id, '/v1/endpoints', { ...post, body: { id: secret, kind: secret } });
  await collect(world, id, `/v1/endpoints/${secret}/heartbeat`, { ...post, body: {} });
  await collect(world, id, `/v1/instances/${secret}/drain`, post);
  await collect(world, id, `/v1/replicas/${secret}/remove`, post);
  await collect(world, id, `/v1/notes/${secret}`, { key: secret });
  await collect(world, id, '/v1/status', { headers: { authorization: `Basic ${secret}` } });
  await collect(world, id, '/v1/status', { key: `${secret}x` });
  await collect(world, id, '/v1/requests', {
    ...post,
    headers: { ...headers, 'lagoongap-queue': secret, 'lagoongap-deadline-ms': secret },
    body: '',
  });
}

function listFiles(folder: string): string[] {
  return readdirSync(folder).flatMap((name) => {
    const path = join(folder, name);
    return statSync(path).isDirectory() ? listFiles(path) : [path];
  });
}

Given(
  'a cell of {int} daemons that log at debug level',
  TIMEOUT,
  async function startCell(this: SecretWorld, instances: number) {
    this.cell = new LocalCell({ instances, replicas: instances, log: { level: 'debug' } });
    this.responses = {};
    await this.cell.start();
    this.keys = createDemoKeys(this.cell.operatorKey);
    const { status } = await this.cell.applyNote('instance-1', createDemoNote(this.keys));
    assert.equal(status, 200);
  },
);

When(
  'every key is sent in valid and in invalid requests to every instance',
  TIMEOUT,
  async function sendAll(this: SecretWorld) {
    for (const id of this.cell!.instanceIds) {
      for (const secret of listSecrets(this)) await sendSecret(this, id, secret);
    }
    const responses = Object.values(this.responses);
    assert.ok(
      responses.some((response) => response.startsWith('{"status":200')),
      'no key was accepted',
    );
  },
);

When(
  'a note that contains the secrets instead of their hashes is submitted',
  TIMEOUT,
  async function submitNote(this: SecretWorld) {
    let body = createDemoNote(this.keys);
    for (const { hash, secret } of Object.values(this.keys)) body = body.replace(hash, secret);
    const key = this.keys.operator.secret;
    const syntaxFault = `number = ${key}\n`;
    const namedBySecret = `number = 9\n[[added.teams]]\nname = "${key}"\nshare = -1\n`;
    for (const text of [body, syntaxFault, namedBySecret]) {
      await collect(this, 'instance-1', '/v1/notes', { method: 'POST', key, body: text });
      await collect(this, 'instance-1', '/v1/notes?check=true', {
        method: 'POST',
        key,
        body: text,
      });
    }
    await collect(this, 'instance-1', '/v1/audit', { key });
  },
);

When(
  'every key except the operator key is withdrawn and sent again',
  TIMEOUT,
  async function withdraw(this: SecretWorld) {
    const ids = ['endpoint-1', 'laboratories-1', 'utilities-1'];
    const entries = ids.map((id) => `[[withdrawn.keys]]\nid = "${id}"\n`);
    const response = await this.cell!.applyNote('instance-1', `number = 2\n${entries.join('')}`);
    assert.equal(response.status, 200, JSON.stringify(response.body));
    for (const secret of listSecrets(this)) await sendSecret(this, 'instance-2', secret);
  },
);

When('an instance is drained', TIMEOUT, async function drain(this: SecretWorld) {
  for (const id of this.cell!.instanceIds) await collect(this, id, '/metrics');
  const key = this.keys.operator.secret;
  await collect(this, 'instance-1', '/v1/instances/instance-3/drain', { method: 'POST', key });
  await this.cell!.daemons.get('instance-3')!.waitForExit();
});

Then(
  'no secret is found in the logs, the responses, the metrics or the data folders',
  TIMEOUT,
  function searchSecrets(this: SecretWorld) {
    const { cell, responses } = this;
    const texts: Record<string, string> = { ...responses };
    for (const file of listFiles(cell!.folder)) texts[file] = readFileSync(file, 'latin1');
    for (const [id, { records }] of [...cell!.daemons, ...cell!.endpoints]) {
      texts[`output of ${id}`] = JSON.stringify(records);
    }
    assert.ok(readFileSync(`${cell!.folder}/instance-1.log`, 'utf8').length > 0, 'empty log');
    const found = Object.entries(texts).filter(([, text]) =>
      listSecrets(this).some((secret) => text.includes(secret)),
    );
    const shorten = (text: string): string => text.slice(0, 300);
    assert.deepEqual(
      found.map(([name, text]) => `${name}: ${shorten(text)}`),
      [],
    );
  },
);
