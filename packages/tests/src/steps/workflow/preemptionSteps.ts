import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { chooseInspectionWaitMs } from '@lagoongap/workflow/inspectionPacing.js';
import {
  DEFAULT_WORKFLOW_FEATURES,
  type WorkflowFeature,
} from '@lagoongap/workflow/workflowFeatures.js';

import { createStep, WorkflowWorld, type StepRow } from '../../workflow/workflowWorld.js';

interface Steps {
  world: WorkflowWorld;
  submittedMs: Map<string, number>;
  /** Largest use of the first organisation right after a start. */
  maxUsedCores: number;
}

const STOP_MS = 200;
const TIMING = { stopMs: STOP_MS, checkpointMs: 1000, restoreMs: 250 };

/** Target of urgent jobs: 1.5 times their duration and this time. */
const URGENT = { priority: 0, stretch: 1.5, targetMs: 300 };
const PATIENT = { priority: 2, stretch: 2.2, targetMs: 1200 };

/** Returns the cores that the runs of the first organisation use on the workers. */
function countUsedCores(world: WorkflowWorld): number {
  const runs = [...world.driver.workers.values()].flatMap((worker) => [...worker.runs.values()]);
  const jobs = runs.map(({ order }) => world.job(order.payload));
  const own = jobs.filter(({ organisation }) => organisation === 'o');
  return own.reduce((sum, { spec }) => sum + spec.steps[0]!.size.cpuMillis / 1000, 0);
}

async function createWorld(steps: Steps, disabled: WorkflowFeature[] = []): Promise<void> {
  await steps.world?.[Symbol.asyncDispose]();
  const features = [...DEFAULT_WORKFLOW_FEATURES].filter((name) => !disabled.includes(name));
  steps.world = new WorkflowWorld(URGENT, TIMING, new Set(features));
  steps.world.addQueue('long', PATIENT);
  steps.world.addOrganisation('other');
  steps.submittedMs = new Map();
  steps.maxUsedCores = 0;
  steps.world.driver.onStarted = () => {
    steps.maxUsedCores = Math.max(steps.maxUsedCores, countUsedCores(steps.world));
  };
}

Given(
  /^a leader with urgent and long work(, but without preemption)?$/,
  async function create(this: Steps, without: string | null) {
    await createWorld(this, without ? ['preemption'] : []);
  },
);

Given(
  'a leader with urgent and long work whose queues have the same priority',
  async function create(this: Steps) {
    await createWorld(this);
    this.world.addQueue('equal', { ...PATIENT, priority: 0 });
  },
);

async function submit(steps: Steps, id: string, row: StepRow, queue: string, key = 'k') {
  const { world } = steps;
  world.driver.durationsMs.set(id, row.estimateMs!);
  if (row.isCheckpointing) world.driver.checkpointingPayloads.add(id);
  steps.submittedMs.set(id, performance.now());
  const response = await world.submit(id, [createStep(row)], {}, queue, key);
  assert.equal(response.type, 'accepted', JSON.stringify(response));
}

/** Kinds of long work by the fields that set them apart. */
const KINDS: Record<string, StepRow> = {
  checkpointing: { isCheckpointing: true },
  plain: {},
  gang: { isCheckpointing: true, isGang: true },
  service: { isCheckpointing: true, isService: true },
  'latency-sensitive': { isCheckpointing: true, latencyTargetMs: 50 },
  'best-effort': { isCheckpointing: true, fillsIdleCapacity: true },
};

When(
  /^(\w+|latency-sensitive|best-effort) job "(\w+)" of (\d+) tasks of (\d+) cores for (\d+) ms is submitted to queue "(\w+)"(?: by "(\w+)")?$/,
  async function submitLong(
    this: Steps,
    kind: string,
    id: string,
    taskCount: string,
    cores: string,
    ms: string,
    queue: string,
    organisation?: string,
  ) {
    const size = { taskCount: Number(taskCount), cores: Number(cores), estimateMs: Number(ms) };
    await submit(this, id, { ...size, ...KINDS[kind] }, queue, organisation ?? 'k');
  },
);

When(
  'a burst of {int} urgent jobs of {int} tasks of {int} cores for {int} ms is submitted',
  async function burst(this: Steps, jobs: number, taskCount: number, cores: number, ms: number) {
    for (let i = 0; i < jobs; i += 1) {
      await submit(this, `burst${i}`, { taskCount, cores, estimateMs: ms }, 'q');
    }
  },
);

Given('all runs take {int} ms to stop', function setStopTime(this: Steps, ms: number) {
  for (const worker of this.world.driver.workers.values()) worker.stopMs = ms;
});

Given('worker {word} refuses stop orders', function refuse(this: Steps, id: string) {
  this.world.driver.worker(id).refusesStops = true;
});

function countInTime(steps: Steps): number {
  const ended = steps.world.logger.find('job ended').filter(({ fields, atMs }) => {
    const id = String(fields.job);
    if (!id.startsWith('burst') || fields.status !== 'completed') return false;
    const { estimateMs } = steps.world.job(id).spec.steps[0]!;
    const targetMs = estimateMs * URGENT.stretch + URGENT.targetMs;
    return atMs - steps.submittedMs.get(id)! <= targetMs;
  });
  return ended.length;
}

Then('{int} urgent jobs were in time', function check(this: Steps, count: number) {
  assert.equal(countInTime(this), count);
});

Then('at least {int} urgent jobs were in time', function check(this: Steps, count: number) {
  const inTime = countInTime(this);
  assert.ok(inTime >= count, `${inTime} were in time`);
});

Then('{int} runs were preempted', function check(this: Steps, count: number) {
  const lines = this.world.logger.find('run is preempted');
  assert.equal(lines.length, count, JSON.stringify(lines.map(({ fields }) => fields)));
});

Then('at most {int} runs were preempted', function check(this: Steps, max: number) {
  const { length } = this.world.logger.find('run is preempted');
  assert.ok(length <= max, `${length} runs`);
});

Then('only runs of job {string} were preempted', function check(this: Steps, id: string) {
  const runs = this.world.logger.find('run is preempted').map(({ fields }) => fields.run);
  assert.ok(runs.length > 0);
  for (const run of runs) assert.ok(String(run).startsWith(`${id}.`), String(run));
});

Then('no task was preempted more than {int} times', function check(this: Steps, max: number) {
  const counts = new Map<string, number>();
  for (const { fields } of this.world.logger.find('run is preempted')) {
    const task = String(fields.run).split(':')[0]!;
    counts.set(task, (counts.get(task) ?? 0) + 1);
  }
  const most = Math.max(0, ...counts.values());
  assert.ok(most <= max, `a task was preempted ${most} times`);
});

Then('no work of job {string} was lost', function check(this: Steps, id: string) {
  const { tasks } = [...this.world.job(id).steps.values()][0]!;
  for (const { failures, crashes } of tasks) {
    assert.equal(failures, 0);
    assert.equal(crashes, undefined);
  }
  const lost = this.world.logger.find('runs are lost');
  assert.deepEqual(lost, []);
  assert.deepEqual(this.world.logger.find('endpoint health changed'), []);
});

Then('the metrics show {int} preempted runs', async function check(this: Steps, count: number) {
  const metrics = await this.world.meter.registry.getMetricsAsJSON();
  const preempted = metrics.find(({ name }) => name === 'lagoongap_preempted_runs_total');
  const sum = (preempted?.values ?? []).reduce((total, { value }) => total + value, 0);
  assert.equal(sum, count);
});

Then('long job {string} has completed', function check(this: Steps, id: string) {
  assert.equal(this.world.job(id).status, 'completed');
});

Then(
  'a run of job {string} was ordered within {int} ms',
  function check(this: Steps, id: string, ms: number) {
    const ordered = this.world.logger
      .find('runs ordered')
      .find(({ fields }) => String(fields.step).startsWith(`${id}.`));
    const waitedMs = ordered ? ordered.atMs - this.submittedMs.get(id)! : Infinity;
    assert.ok(waitedMs <= ms, `${waitedMs} ms`);
  },
);

When(
  'an urgent job of {int} tasks of {int} cores for {int} ms is submitted every {int} ms for {int} ms',
  async function repeat(
    this: Steps,
    taskCount: number,
    cores: number,
    ms: number,
    intervalMs: number,
    totalMs: number,
  ) {
    for (let passedMs = 0; passedMs < totalMs; passedMs += intervalMs) {
      await submit(this, `burst${passedMs}`, { taskCount, cores, estimateMs: ms }, 'q');
      await this.world.advance(intervalMs);
    }
  },
);

When(
  'plain jobs are submitted to queue {string} every {int} ms for {int} ms',
  async function repeat(this: Steps, queue: string, intervalMs: number, totalMs: number) {
    for (let passedMs = 0; passedMs < totalMs; passedMs += intervalMs) {
      await submit(this, `plain${passedMs}`, { estimateMs: 500 }, queue);
      await this.world.advance(intervalMs);
    }
  },
);

Then('the organisation never used more than {int} cores', function check(this: Steps, max: number) {
  assert.ok(this.maxUsedCores <= max, `${this.maxUsedCores} cores`);
});

When('the endpoint of the preempted run becomes unresponsive', function silence(this: Steps) {
  const [line] = this.world.logger.find('run is preempted');
  this.world.driver.worker(String(line!.fields.endpoint)).behaviour = 'silent';
});

When('stop orders are executed after the end of the runs', function finish(this: Steps) {
  for (const worker of this.world.driver.workers.values()) worker.finishesStopped = true;
});

async function countExpired({ world }: Steps): Promise<number> {
  const metrics = await world.meter.registry.getMetricsAsJSON();
  const expired = metrics.find(({ name }) => name === 'lagoongap_expired_holds_total');
  return Number(expired?.values[0]?.value ?? 0);
}

Then('the metrics show expired holds', async function check(this: Steps) {
  assert.ok((await countExpired(this)) > 0);
});

Then('the metrics show no expired holds', async function check(this: Steps) {
  assert.equal(await countExpired(this), 0);
});

When('stop orders are counted from now on', function reset(this: Steps) {
  this.world.driver.stopped.length = 0;
});

Then('no stop order was sent', function check(this: Steps) {
  assert.deepEqual(this.world.driver.stopped, []);
});

Then(
  /^the inspection of an endpoint with a run of (\d+) ms( that is being stopped)? may wait for (\d+) ms$/,
  (estimateMs: string, stopping: string | null, waitMs: string) => {
    const run = { estimateMs: Number(estimateMs), isStopping: stopping !== null };
    assert.equal(chooseInspectionWaitMs([run], false), Number(waitMs));
  },
);
