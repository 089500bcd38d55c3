import assert from 'node:assert/strict';
import { readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';

import { Given, Then, When } from '@cucumber/cucumber';
import { createDemoKeys, createDemoNote } from '@lagoongap/stand-in/demo/demoNote.js';
import { LocalCell } from '@lagoongap/stand-in/localCell.js';

import type { CellWorld } from '../cell/cellWorld.js';

interface SecretWorld extends CellWorld {
  /** Status, headers and body of each answer, by the call that led to it. */
  answers: Record<string, string>;
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
  const answer = await world.cell!.call(id, path, opts).catch((err: Error) => err.message);
  const name = `${id} ${opts.method ?? 'GET'} ${path} ${Object.keys(world.answers).length}`;
  Object.assign(world.answers, { [name]: JSON.stringify(answer) });
}

/** Presents a secret where it belongs, and in places where people put it by mistake. */
async function present(world: SecretWorld, id: string, secret: string): Promise<void> {
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
  'a cell of {int} daemons that log everything',
  TIMEOUT,
  async function startCell(this: SecretWorld, instances: number) {
    this.cell = new LocalCell({ instances, replicas: instances, log: { level: 'debug' } });
    this.answers = {};
    await this.cell.start();
    this.keys = createDemoKeys(this.cell.operatorKey);
    const { status } = await this.cell.applyNote('instance-1', createDemoNote(this.keys));
    assert.equal(status, 200);
  },
);

When(
  'every key is presented well and badly to every instance',
  TIMEOUT,
  async function presentAll(this: SecretWorld) {
    for (const id of this.cell!.instanceIds) {
      for (const secret of listSecrets(this)) await present(this, id, secret);
    }
    const answers = Object.values(this.answers);
    assert.ok(
      answers.some((answer) => answer.startsWith('{"status":200')),
      'no key was accepted',
    );
  },
);

When(
  'a note that holds the secrets in place of their hashes is submitted',
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
  "every key that is not an operator's is withdrawn and presented again",
  TIMEOUT,
  async function withdraw(this: SecretWorld) {
    const ids = ['endpoint-1', 'laboratories-1', 'utilities-1'];
    const entries = ids.map((id) => `[[withdrawn.keys]]\nid = "${id}"\n`);
    const answer = await this.cell!.applyNote('instance-1', `number = 2\n${entries.join('')}`);
    assert.equal(answer.status, 200, JSON.stringify(answer.body));
    for (const secret of listSecrets(this)) await present(this, 'instance-2', secret);
  },
);

When('an instance is drained', TIMEOUT, async function drain(this: SecretWorld) {
  for (const id of this.cell!.instanceIds) await collect(this, id, '/metrics');
  const key = this.keys.operator.secret;
  await collect(this, 'instance-1', '/v1/instances/instance-3/drain', { method: 'POST', key });
  await this.cell!.daemons.get('instance-3')!.waitForExit();
});

Then(
  'no secret is found in the logs, in the answers, in the metrics or in the data folders',
  TIMEOUT,
  function search(this: SecretWorld) {
    const { cell, answers } = this;
    const texts: Record<string, string> = { ...answers };
    for (const file of listFiles(cell!.folder)) texts[file] = readFileSync(file, 'latin1');
    for (const [id, { records }] of [...cell!.daemons, ...cell!.endpoints]) {
      texts[`output of ${id}`] = JSON.stringify(records);
    }
    assert.ok(readFileSync(`${cell!.folder}/instance-1.log`, 'utf8').length > 0, 'empty log');
    const found = Object.entries(texts).filter(([, text]) =>
      listSecrets(this).some((secret) => text.includes(secret)),
    );
    const hide = (text: string): string => text.slice(0, 300);
    assert.deepEqual(
      found.map(([name, text]) => `${name}: ${hide(text)}`),
      [],
    );
  },
);
