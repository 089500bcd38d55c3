import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { Log } from '@lagoongap/model/log.js';
import { HttpAdvisor } from '@lagoongap/platform/httpAdvisor.js';
import { HttpEndpointDriver } from '@lagoongap/platform/httpEndpointDriver.js';
import { parseHeartbeat } from '@lagoongap/platform/heartbeatDocument.js';
import { PlatformClient } from '@lagoongap/platform/platformClient.js';
import type { Inspection, OrderResult } from '@lagoongap/workflow/endpointDriver.js';
import type { EndpointHeartbeat } from '@lagoongap/workflow/endpointService.js';

import { createHeartbeat } from '../../platform/documents.js';

interface OddEntryWorld {
  value: unknown;
  err?: Error;
  bodyServer?: Server;
  bodyClient?: PlatformClient;
  logLines: string[];
}

/** Replaced by the nested lists in the text of a document. */
const PLACEHOLDER = '"nested"';

function nest(depth: number): string {
  return '['.repeat(depth) + ']'.repeat(depth);
}

function parseText(world: OddEntryWorld, text: string): void {
  try {
    world.value = parseHeartbeat('i-1', text);
  } catch (err) {
    world.err = err as Error;
  }
}

async function serve(world: OddEntryWorld, body: string): Promise<void> {
  const server = createServer((_, res) => res.end(body));
  world.bodyServer = server;
  world.bodyClient = new PlatformClient();
  world.logLines = [];
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
}

function readAddress({ bodyServer }: OddEntryWorld): string {
  const { port } = bodyServer!.address() as AddressInfo;
  return `127.0.0.1:${port}`;
}

function createLog(lines: string[]): Log {
  const write = (message: string, fields?: object): void => {
    lines.push(`${message} ${JSON.stringify(fields)}`);
  };
  return { debug: write, info: write, notice: write, warn: write, error: write };
}

function inspect(world: OddEntryWorld): Promise<OrderResult<Inspection>> {
  const driver = new HttpEndpointDriver(world.bodyClient!, createLog(world.logLines));
  const target = { id: 'w1', address: readAddress(world), bornMs: 1 };
  return driver.inspect(target, { fencingToken: 1, ackedReport: 0, waitMs: 0 });
}

After(async function close(this: OddEntryWorld) {
  await this.bodyClient?.[Symbol.asyncDispose]();
  this.bodyServer?.closeAllConnections();
  this.bodyServer?.close();
});

When(
  /^a heartbeat whose ([a-z_.]+) is (\S.*) is parsed$/,
  function parse(this: OddEntryWorld, field: string, value: string) {
    const heartbeat = createHeartbeat('10.0.0.1:80');
    const [name, part] = field.split('.') as [string, string | undefined];
    if (part === undefined) heartbeat[name] = JSON.parse(value);
    else heartbeat[name][part] = JSON.parse(value);
    parseText(this, JSON.stringify(heartbeat));
  },
);

When(
  'a heartbeat that was born {int} ms ahead is parsed',
  function parse(this: OddEntryWorld, ms: number) {
    const heartbeat = { ...createHeartbeat('10.0.0.1:80'), born: Date.now() + ms };
    parseText(this, JSON.stringify(heartbeat));
  },
);

When(
  'a heartbeat whose {string} has {int} nested lists is parsed',
  function parse(this: OddEntryWorld, field: string, depth: number) {
    const heartbeat = { ...createHeartbeat('10.0.0.1:80'), [field]: 'nested' };
    parseText(this, JSON.stringify(heartbeat).replace(PLACEHOLDER, nest(depth)));
  },
);

Then(
  /^parsing fails, naming ([a-z_.]+) and (\S.*)$/,
  function check(this: OddEntryWorld, field: string, value: string) {
    const message = this.err?.message ?? 'parsing succeeded';
    assert.ok(message.startsWith(`heartbeat: ${field}: is ${value};`), message);
  },
);

Then(
  'its endpoint has kind {string}, rack {string} and incarnation {int} ms ahead',
  function check(this: OddEntryWorld, kind: string, rack: string, ms: number) {
    const { endpoint } = this.value as EndpointHeartbeat;
    assert.deepEqual([endpoint.kind, endpoint.rack], [kind, rack]);
    assert.ok(endpoint.bornMs > Date.now() && endpoint.bornMs <= Date.now() + ms);
  },
);

Given(
  'an endpoint that responds to inspections with',
  async function respond(this: OddEntryWorld, body: string) {
    await serve(this, body);
  },
);

Given('an advisor that responds with', async function respond(this: OddEntryWorld, body: string) {
  await serve(this, body);
});

Given(
  'an endpoint that responds to inspections with a row of {int} nested lists',
  async function respond(this: OddEntryWorld, depth: number) {
    const body = { clock_ms: 5, active_runs: [['a.0.0.0', 1, ''], 'nested'], finished: [] };
    await serve(this, JSON.stringify(body).replace(PLACEHOLDER, nest(depth)));
  },
);

Then(
  'an inspection lists the active runs {string} and the ends {string}',
  async function check(this: OddEntryWorld, active: string, ended: string) {
    const result = await inspect(this);
    assert.ok('answer' in result, JSON.stringify(result));
    const list = (rows: { task: string; run: number }[]): string =>
      rows.map(({ task, run }) => `${task}:${run}`).join(' ');
    assert.deepEqual([list(result.answer.active), list(result.answer.ended)], [active, ended]);
    assert.equal(result.answer.hasInvalidRows, true);
  },
);

Then('an inspection fails', async function check(this: OddEntryWorld) {
  assert.deepEqual(await inspect(this), { failure: 'unreachable' });
});

Then('no log line is longer than {int} characters', function check(this: OddEntryWorld, max) {
  for (const line of this.logLines) assert.ok(line.length <= max, line.slice(0, max));
});

Then(
  'a query to the advisor returns tickets for {string}',
  async function check(this: OddEntryWorld, endpoints: string) {
    const advisor = new HttpAdvisor(this.bodyClient!, readAddress(this), createLog([]));
    const response = await advisor.query('j.0.0', ['w1', 'w2', 'w3', 'w4'], 1000);
    assert.equal(response?.good.map(({ endpoint }) => endpoint).join(' '), endpoints);
  },
);
