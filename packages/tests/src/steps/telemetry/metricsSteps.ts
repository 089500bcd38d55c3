import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { METRIC_DEFINITIONS } from '@lagoongap/telemetry/metricDefinitions.js';
import { Metrics, type TeamMetrics } from '@lagoongap/telemetry/metrics.js';

import { readDocumentedMetrics } from './documentedMetrics.js';

interface MetricsWorld {
  metrics: Metrics;
}

const TEAM: TeamMetrics = { running: { tasks: 1 }, limit: {}, share: 0.1, usedShare: 0.1 };

Given('metrics without process metrics', function create(this: MetricsWorld) {
  this.metrics = new Metrics({ processMetrics: false });
});

When(
  '{int} peer messages with random methods are counted',
  function countMessages(this: MetricsWorld, count: number) {
    for (let i = 0; i < count; i++) this.metrics.countPeerMessage('sent', `method-${i}`, 10);
  },
);

When('the metrics of {int} teams are set', function setTeams(this: MetricsWorld, count: number) {
  const teams = Array.from({ length: count }, (_, i): [string, TeamMetrics] => [`t-${i}`, TEAM]);
  this.metrics.setTeams(new Map(teams));
});

When(
  'the gateway validity is {int} ms and the leader validity {int} ms',
  function setValidity(this: MetricsWorld, gatewayMs: number, leaderMs: number) {
    this.metrics.setValiditySource(() => ({ gatewayMs, leaderMs }));
  },
);

When(
  'a waiting time of {int} ms is observed for a batch unit',
  function observeWaiting(this: MetricsWorld, durationMs: number) {
    this.metrics.observeWaiting('batch', durationMs);
  },
);

Then('{string} lists each metric with its type, labels and meaning', async (file: string) => {
  const metrics = new Metrics();
  const registered = await metrics.registry.getMetricsAsJSON();
  const expected = Object.values(METRIC_DEFINITIONS).map(
    ({ name, type, labels, help }) => `${name} | ${type} | ${labels.join(', ')} | ${help}`,
  );
  assert.deepEqual(readDocumentedMetrics(file).sort(), [...expected].sort());
  const own = registered.map(({ name }) => name).filter((name) => name.startsWith('lagoongap_'));
  const documented = Object.values(METRIC_DEFINITIONS).map(({ name }) => name);
  assert.deepEqual(own.sort(), [...documented].sort());
  assert.ok(registered.some(({ name }) => name === 'process_resident_memory_bytes'));
});

Then(
  'the metric {string} has {int} series',
  async function countSeries(this: MetricsWorld, name: string, count: number) {
    const lines = (await this.metrics.render()).split('\n');
    assert.equal(lines.filter((line) => line.startsWith(`${name}{`)).length, count);
  },
);

Then(
  /^the metrics contain (?:"(.*)"|'(.*)')$/,
  async function checkLine(this: MetricsWorld, plain: string | null, quoted: string | null) {
    const text = await this.metrics.render();
    assert.ok(text.split('\n').includes(plain ?? quoted!), text);
  },
);
