import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { promisify } from 'node:util';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { COMMANDS } from '@lagoongap/client/commandTable.js';
import { listExitCodes } from '@lagoongap/client/exitCodes.js';
import { runCli } from '@lagoongap/client/runCli.js';
import { createEmptyConfig } from '@lagoongap/model/clusterConfig.js';
import { applyReleaseNote } from '@lagoongap/release-notes/applyReleaseNote.js';
import { parseReleaseNote } from '@lagoongap/release-notes/parseReleaseNote.js';

import { createTrail } from '../release-notes/auditTrailSteps.js';
import { StubGateway } from './stubGateway.js';

interface ClientWorld {
  gateway?: StubGateway;
  gateways: string[];
  files: Record<string, string>;
  env: Record<string, string>;
  stdin: string;
  stdout: string;
  stderr: string;
  exitCode: number;
}

/** URL of a port on which nothing listens. */
const CLOSED_GATEWAY = 'http://127.0.0.1:1';

const EXAMPLE_NOTE = 'examples/first-note.toml';

function encodeRefusal(type: string, runState: string, details?: unknown): string {
  return JSON.stringify({ error: { type, runState, message: `it is ${type}`, details } });
}

async function run(world: ClientWorld, line: string): Promise<void> {
  Object.assign(world, { stdout: '', stderr: '' });
  const exitCode = await runCli(line.split(' '), {
    env: { LAGOONGAP_GATEWAY: world.gateways.join(), ...world.env },
    stdout: {
      write: (text) => {
        Object.assign(world, { stdout: world.stdout + text.toString() });
      },
    },
    stderr: {
      write: (text) => {
        Object.assign(world, { stderr: world.stderr + text.toString() });
      },
    },
    readFile: async (file) =>
      world.files[file] === undefined ? readFile(file) : Buffer.from(world.files[file]),
    readStdin: async () => Buffer.from(world.stdin),
  });
  Object.assign(world, { exitCode });
}

After({ tags: '@stub-gateway' }, async function stop(this: ClientWorld) {
  await this.gateway?.[Symbol.asyncDispose]();
});

Given('a stub gateway', async function start(this: ClientWorld) {
  this.gateway = new StubGateway();
  await this.gateway.start();
  Object.assign(this, { gateways: [this.gateway.url], files: {}, env: {}, stdin: '' });
});

Given('a closed gateway before the stub gateway', function addClosed(this: ClientWorld) {
  this.gateways.unshift(CLOSED_GATEWAY);
});

Given('only a closed gateway', function useClosed(this: ClientWorld) {
  this.gateways = [CLOSED_GATEWAY];
});

Given('the client file {string}:', function setFile(this: ClientWorld, name: string, text: string) {
  this.files[name] = text;
});

Given(
  'the client environment {word}={word}',
  function setEnv(this: ClientWorld, name: string, value: string) {
    this.env[name] = value;
  },
);

Given(
  '{string} on standard input of the client',
  function setStdin(this: ClientWorld, text: string) {
    this.stdin = text;
  },
);

Given(
  /^the stub gateway responds to "(.*)" with (\d+) (.*)$/,
  function respond(this: ClientWorld, route: string, status: string, body: string) {
    this.gateway!.setResponses(route, [{ status: Number(status), body }]);
  },
);

Given(
  /^the stub gateway first (drops|cuts|refuses) "(.*)" and then responds with (.*)$/,
  function fail(this: ClientWorld, fault: string, route: string, body: string) {
    const first = {
      drops: { fault: 'drop' as const },
      cuts: { fault: 'cut' as const },
      refuses: { status: 503, body: encodeRefusal('no-leader', 'not-run') },
    }[fault]!;
    this.gateway!.setResponses(route, [first, { body }]);
  },
);

Given(
  'the stub gateway refuses {string} as {string} with run state {string}',
  function refuseRoute(this: ClientWorld, route: string, type: string, runState: string) {
    this.gateway!.setResponses(route, [{ status: 409, body: encodeRefusal(type, runState) }]);
  },
);

Given(
  'the stub gateway finds a fault at line {int} of {string}',
  function refuseNote(this: ClientWorld, line: number, route: string) {
    const faults = [{ line, path: 'added.teams[0].name', message: 'exists already' }];
    const body = encodeRefusal('invalid-input', 'not-run', { faults });
    this.gateway!.setResponses(route, [{ status: 400, body }]);
  },
);

Given(
  'the stub gateway has the configuration of the example note',
  function setConfig(this: ClientWorld) {
    const { note } = parseReleaseNote(readFileSync(EXAMPLE_NOTE, 'utf8'));
    const body = JSON.stringify(applyReleaseNote(createEmptyConfig(), note!));
    this.gateway!.setResponses('GET /v1/config', [{ body }]);
  },
);

Given(
  'the stub gateway reports notes {string} in force on its instances',
  function setStatus(this: ClientWorld, rounds: string) {
    const responses = rounds.split('; ').map((round) => {
      const instances = round.split(',').map((number, index) => ({
        id: `i-${index}`,
        dataCentre: 'dc-1',
        roles: ['gateway', 'replica'],
        alive: true,
        isReachable: true,
        validityMs: 2000,
        number: Number(number),
      }));
      return {
        body: JSON.stringify({
          leader: 'i-0',
          term: 3,
          number: instances[0]!.number,
          instances,
          voters: instances.map(({ id }) => `${id}/a`),
          learners: [],
          waiting: 0,
          running: 0,
          waitingByQueue: {},
          teamShares: {},
        }),
      };
    });
    this.gateway!.setResponses('GET /v1/status', responses);
  },
);

Given(
  'the stub gateway has an audit trail of {int} entries of which {int} is edited',
  function setTrail(this: ClientWorld, length: number, edited: number) {
    const entries = createTrail(length);
    if (edited > 0) entries[edited - 1]!.by = 'nobody';
    this.gateway!.setResponses('GET /v1/audit', [{ body: JSON.stringify({ entries }) }]);
  },
);

When(/^the client runs "(.*)"$/, async function runLine(this: ClientWorld, line: string) {
  await run(this, line);
});

Then('the client exits with {int}', function checkExit(this: ClientWorld, code: number) {
  assert.equal(this.exitCode, code, `${this.stdout}\n${this.stderr}`);
});

Then(/^the client prints '(.*)'$/, function checkStdout(this: ClientWorld, text: string) {
  assert.ok(this.stdout.includes(text), this.stdout);
});

Then(/^the client reports '(.*)'$/, function checkStderr(this: ClientWorld, text: string) {
  assert.ok(this.stderr.includes(text), this.stderr);
});

Then(/^the client does not print '(.*)'$/, function checkAbsent(this: ClientWorld, text: string) {
  assert.ok(!this.stdout.includes(text), this.stdout);
});

Then('the client prints one JSON document', function checkJson(this: ClientWorld) {
  assert.equal(typeof JSON.parse(this.stdout), 'object');
});

Then(
  'the client reports a JSON error with exit code {int}',
  function checkError(this: ClientWorld, code: number) {
    assert.equal(JSON.parse(this.stderr).exitCode, code);
  },
);

Then(
  'the client prints nothing of {string}',
  function checkAbsent(this: ClientWorld, text: string) {
    assert.ok(!`${this.stdout}${this.stderr}`.includes(text));
  },
);

Then(
  'the stub gateway has received {int} calls of {string}',
  function countCalls(this: ClientWorld, count: number, route: string) {
    const routes = this.gateway!.calls.map((call) => call.route);
    assert.equal(routes.filter((each) => each === route).length, count, routes.join('\n'));
  },
);

Then(
  'the stub gateway has received the header {string} as {string}',
  function checkHeader(this: ClientWorld, name: string, value: string) {
    assert.equal(this.gateway!.calls[0]!.headers[name], value);
  },
);

Then(
  'the stub gateway has received the body {string}',
  function checkBody(this: ClientWorld, body: string) {
    assert.equal(this.gateway!.calls[0]!.body, body);
  },
);

Then('all calls have carried the same idempotency key', function compareKeys(this: ClientWorld) {
  const keys = this.gateway!.calls.map((call) => call.headers['idempotency-key']);
  assert.ok(keys[0]);
  assert.equal(new Set(keys).size, 1);
});

Then('the binary lists every command and exit code in its help', async () => {
  const file = 'packages/client/bin/lagoongap.js';
  const { stdout } = await promisify(execFile)(process.execPath, [file, '--help']);
  for (const { usage } of COMMANDS) assert.ok(stdout.includes(usage), usage);
  assert.ok(stdout.includes(listExitCodes()));
});

Then('{string} lists every command, option and exit code', (file: string) => {
  const text = readFileSync(file, 'utf8');
  for (const { usage, options = [] } of COMMANDS) {
    assert.ok(text.includes(`\`${usage}\``), usage);
    for (const option of options) assert.ok(text.includes(option.usage), option.usage);
  }
  for (const line of listExitCodes().split('\n')) {
    const [, code, meaning] = /(\d+)\s+(.*)/.exec(line)!;
    assert.ok(text.includes(`| ${code} | ${meaning} |`), line);
  }
});
