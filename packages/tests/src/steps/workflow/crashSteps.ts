import assert from 'node:assert/strict';

import { Given, Then, When, type DataTable } from '@cucumber/cucumber';

import type { JobRecord, StepRecord } from '@lagoongap/workflow/workflowRecords.js';
import { CrashingFleet } from '../../workflow/crashingFleet.js';

import { createStep, type WorkflowWorld } from '../../workflow/workflowWorld.js';

interface CrashSteps {
  world: WorkflowWorld;
  fleet: CrashingFleet;
}

const TIMEOUT = { timeout: 60_000 };

/** Duration of service tasks; longer than any scenario. */
const SERVICE_MS = 600_000;

/** Parameters of a linear congruential generator, for a repeatable choice of workers. */
const RANDOM = { factor: 1_103_515_245, increment: 12_345, modulus: 2 ** 31, seed: 7 };

function listJobs({ world }: CrashSteps, prefix: string): JobRecord[] {
  return [...world.state.jobs.values()].filter(({ id }) => new RegExp(`^${prefix}\\d+$`).test(id));
}

/** Submits jobs that are named with numbers from 1. */
async function submitJobs(
  { world }: CrashSteps,
  prefix: string,
  opts: { taskCount: number; count: number; intervalMs: number },
): Promise<void> {
  const { taskCount, count, intervalMs } = opts;
  for (let i = 1; i <= count; i += 1) {
    await world.submit(`${prefix}${i}`, [createStep({ taskCount })]);
    await world.advance(intervalMs);
  }
}

Given(
  /^workers that crash are back after (\d+) ms under (the same|another) id$/,
  function describe(this: CrashSteps, returnMs: string, id: string) {
    this.fleet = new CrashingFleet(this.world);
    this.fleet.opts.returnMs = Number(returnMs);
    this.fleet.opts.keepsId = id === 'the same';
  },
);

Given(
  'task {string} crashes each worker that starts it',
  function addTask(this: CrashSteps, task: string) {
    this.fleet.addDeadlyTask(task);
  },
);

Given(
  'task {string} crashes each worker that starts it after {int} ms',
  function addTask(this: CrashSteps, task: string, delayMs: number) {
    this.fleet.addDeadlyTask(task, delayMs);
  },
);

Given(
  '{int} tasks of job {string} from index {int} crash each worker that starts them after {int} ms',
  function addTasks(this: CrashSteps, count: number, id: string, first: number, delayMs: number) {
    for (let i = first; i < first + count; i += 1) {
      this.fleet.addDeadlyTask(`${id}.0.0.${i}`, delayMs);
    }
  },
);

Given(
  'workers crash by chance under these runs:',
  function add(this: CrashSteps, table: DataTable) {
    for (const { task, run, 'after ms': afterMs } of table.hashes()) {
      this.fleet.addChanceCrash(task!, Number(run), Number(afterMs));
    }
  },
);

When('worker {word} crashes', function crash(this: CrashSteps, id: string) {
  this.fleet.crash(id);
});

When('the worker of job {string} crashes', function crash(this: CrashSteps, payload: string) {
  for (const [id, { runs }] of this.world.driver.workers) {
    if ([...runs.values()].some(({ order }) => order.payload === payload)) this.fleet.crash(id);
  }
});

When('worker {word} leaves and comes back', function leave(this: CrashSteps, id: string) {
  this.world.session.endpoints.leave(id);
  this.fleet.crash(id);
});

When(
  'an instance is taken down for maintenance',
  TIMEOUT,
  async function maintain(this: CrashSteps) {
    const [record] = this.world.records.values();
    const wave = { number: 1, instances: [record!.instance], withinMs: 20_000, maxDown: 1 };
    await this.world.log.propose({ type: 'open-wave', ...wave });
    await this.world.advance(1000);
  },
);

Then(
  '{int} crashes are counted, with {int} runs',
  async function check(this: CrashSteps, crashes: number, runs: number) {
    const lines = (await this.world.meter.registry.metrics()).split('\n');
    assert.ok(lines.includes(`lagoongap_endpoint_crashes_total ${crashes}`), lines.join('\n'));
    assert.ok(lines.includes(`lagoongap_crashed_runs_total ${runs}`), lines.join('\n'));
  },
);

Then(
  'the crash of {word} is logged with run {string}',
  function check(this: CrashSteps, endpoint: string, run: string) {
    const lines = this.world.logger.find('endpoint crashed');
    const line = lines.find(({ fields }) => fields.endpoint === endpoint);
    assert.ok(line, JSON.stringify(lines));
    assert.match(String(line.fields.runs), new RegExp(`${run} after \\d+ ms`));
  },
);

Given(
  'task 0 of jobs {string} {int} to {int} crashes each worker that starts it',
  function addTasks(this: CrashSteps, prefix: string, first: number, last: number) {
    for (let i = first; i <= last; i += 1) this.fleet.addDeadlyTask(`${prefix}${i}.0.0.0`);
  },
);

Given(
  '{int} jobs {string} have one task that crashes each worker that starts it after {int} ms',
  function addTasks(this: CrashSteps, count: number, prefix: string, delayMs: number) {
    for (let i = 1; i <= count; i += 1) {
      this.fleet.addDeadlyTask(`${prefix}${i}.0.0.0`, delayMs);
      this.world.driver.durationsMs.set(`${prefix}${i}`, delayMs * 2);
    }
  },
);

When(
  'jobs {string} of {int} tasks are submitted {int} times, {int} ms apart',
  TIMEOUT,
  async function submit(
    this: CrashSteps,
    prefix: string,
    taskCount: number,
    count: number,
    intervalMs: number,
  ) {
    await submitJobs(this, prefix, { taskCount, count, intervalMs });
  },
);

When(
  'workers {int} to {int} crash {int} times, {int} ms apart',
  TIMEOUT,
  async function crash(
    this: CrashSteps,
    first: number,
    last: number,
    times: number,
    intervalMs: number,
  ) {
    for (let i = 0; i < times; i += 1) {
      for (const id of [...this.world.records.keys()]) {
        const number = parseInt(id.slice(1), 10);
        if (number >= first && number <= last) this.fleet.crash(id);
      }
      await this.world.advance(intervalMs);
    }
  },
);

When(
  'a random worker crashes {int} times, {int} ms apart, while jobs {string} of {int} tasks are submitted',
  TIMEOUT,
  async function crash(
    this: CrashSteps,
    times: number,
    intervalMs: number,
    prefix: string,
    taskCount: number,
  ) {
    let random = RANDOM.seed;
    for (let i = 1; i <= times; i += 1) {
      random = (random * RANDOM.factor + RANDOM.increment) % RANDOM.modulus;
      const ids = [...this.world.records.keys()];
      this.fleet.crash(ids[random % ids.length]!);
      await this.world.submit(`${prefix}${i}`, [createStep({ taskCount })]);
      await this.world.advance(intervalMs);
    }
  },
);

When(
  'gang job {string} of {int} tasks of {int} ms is submitted',
  async function submit(this: CrashSteps, id: string, taskCount: number, ms: number) {
    this.fleet.gangs.add(id);
    this.world.driver.durationsMs.set(id, ms);
    await this.world.submit(id, [createStep({ taskCount, isGang: true, estimateMs: ms })]);
  },
);

When(
  'job {string} of 1 task that runs for {int} ms is submitted',
  async function submit(this: CrashSteps, id: string, ms: number) {
    this.world.driver.durationsMs.set(id, ms);
    await this.world.submit(id, [createStep({ estimateMs: ms })]);
  },
);

When(
  'service {string} of {int} tasks that run until they are stopped is submitted',
  async function submit(this: CrashSteps, id: string, taskCount: number) {
    this.world.driver.durationsMs.set(id, SERVICE_MS);
    await this.world.submit(id, [createStep({ taskCount, isService: true, maxUnavailable: 1 })]);
  },
);

When(
  'service {string} of {int} tasks on different workers is submitted',
  async function submit(this: CrashSteps, id: string, taskCount: number) {
    this.world.driver.durationsMs.set(id, SERVICE_MS);
    const spec = { taskCount, isService: true, maxUnavailable: 1, maxPerEndpoint: 1 };
    await this.world.submit(id, [createStep(spec)]);
  },
);

When('the state is restored from a snapshot', async function restore(this: CrashSteps) {
  await this.world.restoreState((snapshot) => snapshot);
});

When(
  'the state is restored from a snapshot that holds no crashes',
  async function restore(this: CrashSteps) {
    await this.world.restoreState((snapshot) => {
      const { jobs } = snapshot as { jobs: { steps: [string, StepRecord][] }[] };
      for (const [, step] of jobs.flatMap(({ steps }) => steps)) {
        for (const task of step.tasks) delete task.crashes;
      }
      return snapshot;
    });
  },
);

When('the number of workers down is counted from now on', function reset(this: CrashSteps) {
  this.fleet.maxDown = this.fleet.down.size;
});

Then(
  'job {string} has crashed at most {int} workers',
  function check(this: CrashSteps, job: string, max: number) {
    const count = this.fleet.countStarts(job);
    assert.ok(count >= 1 && count <= max, `${count} starts`);
  },
);

Then(
  'no task of jobs {string} has crashed more than {int} workers',
  function check(this: CrashSteps, prefix: string, max: number) {
    const counts = [...this.fleet.starts].filter(([task]) => task.startsWith(prefix));
    for (const [task, count] of counts) assert.ok(count <= max, `${task}: ${count} starts`);
  },
);

Then(
  'each deadly task of job {string} has crashed at least {int} and at most {int} workers',
  function check(this: CrashSteps, id: string, min: number, max: number) {
    const counts = [...this.fleet.crashCounts].filter(([task]) => task.startsWith(`${id}.`));
    assert.ok(counts.length > 0);
    for (const [task, count] of counts) {
      assert.ok(count >= min && count <= max, `${task}: ${count} crashes`);
    }
  },
);

Then(
  'all jobs {string} and {string} are {string}',
  function check(this: CrashSteps, first: string, second: string, status: string) {
    const jobs = [...listJobs(this, first), ...listJobs(this, second)];
    assert.ok(jobs.length > 0);
    const others = jobs.filter((job) => job.status !== status);
    assert.deepEqual(
      others.map((job) => `${job.id} ${job.status}`),
      [],
    );
  },
);

Then('at most {int} workers were down at once', function check(this: CrashSteps, max: number) {
  assert.ok(this.fleet.maxDown <= max, `${this.fleet.maxDown} were down`);
});

When('the worker of service {string} crashes', function crash(this: CrashSteps, id: string) {
  const [step] = this.world.state.jobs.get(id)!.steps.values();
  this.fleet.crash(step!.tasks[0]!.runs[0]!.endpoint);
});

Then(
  'the service {string} has {int} run',
  function check(this: CrashSteps, id: string, count: number) {
    const [step] = this.world.state.jobs.get(id)!.steps.values();
    assert.equal(step!.tasks.filter(({ runs }) => runs.length > 0).length, count);
  },
);
