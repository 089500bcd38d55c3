import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { Log, LogFields } from '@lagoongap/model/log.js';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import type { CallFailureReason } from '@lagoongap/telemetry/callFailure.js';
import { LeaderAbsence } from '@lagoongap/telemetry/leaderAbsence.js';
import { WorkflowMetrics } from '@lagoongap/telemetry/workflowMetrics.js';
import FakeTimers from '@sinonjs/fake-timers';

import { readDocumentedMetrics } from './documentedMetrics.js';

interface WorkflowMetricsWorld {
  metrics: WorkflowMetrics;
  absence: LeaderAbsence;
  notices: [string, LogFields | undefined][];
  clock?: ReturnType<typeof FakeTimers.install>;
}

After(function uninstallClock(this: WorkflowMetricsWorld) {
  this.clock?.uninstall();
});

Given('workflow metrics', function create(this: WorkflowMetricsWorld) {
  this.metrics = new WorkflowMetrics();
});

Given('an instance that calls the leader', function createCaller(this: WorkflowMetricsWorld) {
  this.clock = FakeTimers.install({ toFake: ['performance'] });
  this.metrics = new WorkflowMetrics();
  this.notices = [];
  const log: Log = {
    ...SILENT_LOG,
    notice: (message, fields) => this.notices.push([message, fields]),
  };
  this.absence = new LeaderAbsence({ log, meter: this.metrics });
});

When(
  /^a try at the leader fails after (\d+) ms because it (?:was )?"(.*)"$/,
  function fail(this: WorkflowMetricsWorld, ms: string, reason: CallFailureReason) {
    const sentMs = performance.now();
    this.clock!.tick(Number(ms));
    this.absence.recordFailure(reason, { target: 'core-1', method: 'jobs.call', sentMs });
  },
);

When(
  'the leader responds {int} ms later',
  function respond(this: WorkflowMetricsWorld, ms: number) {
    this.clock!.tick(ms);
    this.absence.recordResponse('core-1');
  },
);

When(
  '{int} steps of priority {int} and {int} steps of priority {int} wait',
  function wait(this: WorkflowMetricsWorld, a: number, first: number, b: number, second: number) {
    const createWaiting = (steps: number) => ({ steps, tasks: steps, longestWaitMs: 500 });
    this.metrics.setWaitingSteps(
      new Map([
        [first, createWaiting(a)],
        [second, createWaiting(b)],
      ]),
    );
  },
);

Then(
  '{string} lists each workflow metric with its type, labels and meaning',
  async (file: string) => {
    const { registry } = new WorkflowMetrics();
    const registered = await registry.getMetricsAsJSON();
    const expected = registered.map(({ name, type, help }) => {
      const { labelNames } = registry.getSingleMetric(name) as unknown as { labelNames: string[] };
      return `${name} | ${type} | ${labelNames.join(', ')} | ${help}`;
    });
    assert.deepEqual(readDocumentedMetrics(file).sort(), expected.sort());
  },
);

Then(
  /^the workflow metrics contain (no )?(?:"(.*)"|'(.*)')$/,
  async function checkLine(
    this: WorkflowMetricsWorld,
    no: string | null,
    plain: string | null,
    quoted: string | null,
  ) {
    const text = await this.metrics.registry.metrics();
    assert.equal(text.split('\n').includes(plain ?? quoted!), no === null, text);
  },
);

Then(
  'the log tells that there was no valid leader for {int} ms',
  function checkLog(this: WorkflowMetricsWorld, absentMs: number) {
    const [[begin, beginFields], [end, endFields], ...others] = this.notices as [
      [string, LogFields],
      [string, LogFields],
    ];
    assert.deepEqual([begin, beginFields.reason], ['no valid leader', 'timed-out']);
    assert.deepEqual([end, endFields.absentMs], ['valid leader found', absentMs]);
    assert.deepEqual(others, []);
  },
);
