import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import type { GatewayAnswer } from '@lagoongap/daemon/workflowGateway.js';
import { toHttpAnswer } from '@lagoongap/platform/callerApi.js';
import { parseConfigDocument } from '@lagoongap/platform/configDocument.js';
import { parseHeartbeat } from '@lagoongap/platform/heartbeatDocument.js';
import { parseJob } from '@lagoongap/platform/jobDocument.js';
import {
  parsePlatformSettings,
  type PlatformSettings,
} from '@lagoongap/platform/platformSettings.js';
import type { CellConfig } from '@lagoongap/workflow/cellConfig.js';
import type { EndpointHeartbeat } from '@lagoongap/workflow/endpointService.js';
import type { JobSpec } from '@lagoongap/workflow/jobSpec.js';

import { createConfig, createHeartbeat, createJob, SETTINGS } from '../../platform/documents.js';

interface Reading {
  value: unknown;
  err?: Error;
}

/** Changes a document so that it has the fault that a scenario names. */
const FAULTS: Record<string, (document: any) => string> = {
  'no fault': JSON.stringify,
  'a cut text': (document) => JSON.stringify(document).slice(0, -5),
  'an unknown service': (config) => {
    config.routes[0].service = 'other';
    return JSON.stringify(config);
  },
  'two routes at one place': (config) => {
    config.routes.push(config.routes[0]);
    return JSON.stringify(config);
  },
  'a time-out of 0': (config) => {
    config.routes[1].timeout_ms = 0;
    return JSON.stringify(config);
  },
  'a key of two tenants': (config) => {
    config.tenants.push({ ...config.tenants[0], name: 'second' });
    return JSON.stringify(config);
  },
  'a version that is a text': (config) => JSON.stringify({ ...config, version: '7' }),
  'no steps': (job) => JSON.stringify({ ...job, steps: [] }),
  'a count of 0': (job) => {
    job.steps[0].count = 0;
    return JSON.stringify(job);
  },
  'a step before itself': (job) => {
    job.steps[0].start_after = [1];
    return JSON.stringify(job);
  },
  'no address': ({ address, ...heartbeat }) => JSON.stringify(heartbeat),
  'an unknown state': (heartbeat) => JSON.stringify({ ...heartbeat, state: 'odd' }),
  'a birth that is a text': (heartbeat) => JSON.stringify({ ...heartbeat, born: 'soon' }),
  'no capacity': ({ capacity, ...heartbeat }) => JSON.stringify(heartbeat),
};

function read(reading: Reading, parse: () => unknown): void {
  try {
    reading.value = parse();
  } catch (err) {
    reading.err = err as Error;
  }
}

When(/^a configuration with (.+) is read$/, function readConfig(this: Reading, fault: string) {
  read(this, () => parseConfigDocument(FAULTS[fault]!(createConfig(7))));
});

When('a job of the platform is read', function readJob(this: Reading) {
  read(this, () => parseJob(JSON.stringify(createJob())));
});

When(/^a job with (.+) is read$/, function readBadJob(this: Reading, fault: string) {
  read(this, () => parseJob(FAULTS[fault]!(createJob())));
});

When(/^a heartbeat with (.+) is read$/, function readHeartbeat(this: Reading, fault: string) {
  read(this, () => parseHeartbeat('i-1', FAULTS[fault]!(createHeartbeat('10.0.0.1:80'))));
});

When('settings with no fault are read', function readSettings(this: Reading) {
  read(this, () => parsePlatformSettings(SETTINGS));
});

When('settings with no address are read', function readBadSettings(this: Reading) {
  read(this, () => parsePlatformSettings(SETTINGS.replace(/^ip = .*$/m, '')));
});

Then('reading it fails with {string}', function checkFailure(this: Reading, text: string) {
  assert.ok(this.err?.message.includes(text), this.err?.message ?? 'it was read');
});

Then('it has {int} queues and {int} organisation', function check(this: Reading, queues, count) {
  const config = this.value as CellConfig;
  assert.equal(config.queues.length, queues);
  assert.equal(config.organisations.length, count);
});

Then(
  'queue {int} has priority {int}, {int} attempts and advice that lasts {int} ms',
  function checkQueue(this: Reading, index: number, priority: number, attempts: number, ms) {
    const queue = (this.value as CellConfig).queues[index]!;
    assert.deepEqual(
      [queue.priority, queue.maxAttempts, queue.advice?.validMs],
      [priority, attempts, ms],
    );
  },
);

Then('it has 2 steps of which the second follows the first', function checkSteps(this: Reading) {
  assert.deepEqual(
    (this.value as JobSpec).steps.map(({ dependsOn }) => dependsOn),
    [[], [0]],
  );
});

Then('its second step is checkpointing and takes 2 cores', function checkStep(this: Reading) {
  const step = (this.value as JobSpec).steps[1]!;
  assert.deepEqual([step.isCheckpointing, step.size.cpuMillis], [true, 2000]);
});

Then(
  'its endpoint has kind {string}, rack {string} and birth {int}',
  function checkEndpoint(this: Reading, kind: string, rack: string, bornMs: number) {
    const { endpoint } = this.value as EndpointHeartbeat;
    assert.deepEqual([endpoint.kind, endpoint.rack, endpoint.bornMs], [kind, rack, bornMs]);
  },
);

Then(
  'the instance has a data folder, {int} seeds and leases of {int} ms',
  function checkSettings(this: Reading, seeds: number, leaseMs: number) {
    const settings = this.value as PlatformSettings;
    assert.deepEqual(
      [settings.dataFolder, settings.seedHosts.length, settings.timing.leaseMs],
      ['/data/my-core', seeds, leaseMs],
    );
  },
);

Then(
  'an answer {string} has status {int} and retry time {string}',
  (type: string, status: number, retry: string) => {
    const answer = toHttpAnswer({ type, retryAfterMs: 1500, reason: 'full' } as GatewayAnswer);
    assert.equal(answer.status, status);
    assert.equal(answer.headers?.['retry-after'] ?? '', retry);
  },
);
