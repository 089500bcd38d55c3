import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { text } from 'node:stream/consumers';

import { type DataTable, Given, Then, When } from '@cucumber/cucumber';

import type { CellWorld } from '../cell/cellWorld.js';

interface BinaryWorld extends CellWorld {
  /** Values of the `{name}` placeholders in command lines and expected outputs. */
  values: Record<string, string>;
}

interface BinaryResult {
  code: number | null;
  stdout: string;
  stderr: string;
}

const TIMEOUT = { timeout: 120_000 };
const BINARY = resolve('packages/client/bin/lagoongap.js');
const JOB_PATTERN = /\b(job-[\w-]+)/;

async function runBinary(world: BinaryWorld, args: string[], key: string): Promise<BinaryResult> {
  const cell = world.cell!;
  const liveIds = cell.instanceIds.filter((id) => !cell.daemons.get(id)!.hasExited);
  const child = spawn(process.execPath, [BINARY, ...args], {
    cwd: cell.folder,
    env: {
      ...process.env,
      LAGOONGAP_GATEWAY: liveIds.map((id) => cell.url(id)).join(','),
      LAGOONGAP_KEY: key,
    },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const exited = new Promise<number | null>((done) => {
    child.on('exit', done);
  });
  const [stdout, stderr] = await Promise.all([text(child.stdout), text(child.stderr)]);
  return { code: await exited, stdout, stderr };
}

function fillTemplate(world: BinaryWorld, template: string): string {
  return template.replace(/\{(job|leader|follower)\}/g, (_, name: string) => world.values[name]!);
}

async function findRoles(world: BinaryWorld): Promise<void> {
  const leader = await world.cell!.findLeader();
  const follower = ['instance-1', 'instance-2', 'instance-3'].find((id) => id !== leader)!;
  Object.assign(world.values, { leader, follower });
}

function isJson(document: string): boolean {
  try {
    JSON.parse(document);
    return true;
  } catch {
    return false;
  }
}

/** Lists the differences between a result and what is expected. */
function findFaults(line: string, result: BinaryResult, code: number, expected: string): string[] {
  const { stdout, stderr } = result;
  const faults: string[] = [];
  if (result.code !== code) faults.push(`exit code ${result.code}, expected ${code}`);
  if (!`${stdout}\n${stderr}`.includes(expected)) faults.push(`expected ${expected}`);
  const document = stdout === '' ? stderr : stdout;
  if (line.includes('--json') && !isJson(document)) faults.push('output is not one JSON document');
  return faults.map((fault) => `${line}: ${fault}\n${stdout}${stderr}`);
}

Given(
  'the file {string} for the client binary:',
  function writeFile(this: BinaryWorld, name: string, content: string) {
    writeFileSync(`${this.cell!.folder}/${name}`, content);
  },
);

Then(
  /^the client binary, run by the (operator|utilities), gives:$/,
  TIMEOUT,
  async function checkCommands(this: BinaryWorld, holder: string, table: DataTable) {
    this.values ??= {};
    await findRoles(this);
    const key = this.keys[holder as 'operator' | 'utilities'].secret;
    const faults: string[] = [];
    for (const row of table.hashes()) {
      const line = fillTemplate(this, row.arguments!);
      const result = await runBinary(this, line.split(' '), key);
      faults.push(...findFaults(line, result, Number(row.code), fillTemplate(this, row.output!)));
      const job = line.startsWith('submit') ? JOB_PATTERN.exec(result.stdout)?.[1] : undefined;
      if (job !== undefined) this.values.job = job;
    }
    assert.deepEqual(faults, []);
  },
);

When('the process of the follower has ended', TIMEOUT, async function awaitExit(this: BinaryWorld) {
  const { follower } = this.values;
  const { code } = await this.cell!.daemons.get(follower!)!.waitForExit();
  assert.equal(code, 0, 'a drained instance exits without an error');
  await this.cell!.waitFor('the follower to count as absent', async () => {
    const { body } = await this.cell!.call(this.values.leader!, '/v1/status', {
      key: this.keys.operator.secret,
    });
    const instance = body.instances.find(({ id }: { id: string }) => id === follower);
    return !instance.alive && !instance.isReachable;
  });
});

When(
  'the follower is started with an empty disk',
  TIMEOUT,
  async function restart(this: BinaryWorld) {
    this.cell!.deleteDataFolder(this.values.follower!);
    this.cell!.startDaemon(this.values.follower!);
    await this.cell!.waitUntilReady(this.values.follower!);
  },
);

Then(
  'the replica of the follower becomes a voter again',
  TIMEOUT,
  async function awaitVoter(this: BinaryWorld) {
    const { follower } = this.values;
    await this.cell!.waitFor('the replica to become a voter', async () => {
      const args = ['replace', follower!, '--json'];
      const { stdout } = await runBinary(this, args, this.keys.operator.secret);
      return JSON.parse(stdout).state === 'voter';
    });
  },
);
