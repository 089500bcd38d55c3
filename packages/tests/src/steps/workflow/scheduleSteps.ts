import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import { parseTaskName, stepKey, type StepSpec } from '@lagoongap/workflow/jobSpec.js';
import {
  addOccurrence,
  includesOccurrence,
  skipOccurrences,
  type OccurrenceRanges,
} from '@lagoongap/workflow/occurrenceRanges.js';
import type { RunOutcome } from '@lagoongap/workflow/workflowRecords.js';
import fc from 'fast-check';

import { createStep, type WorkflowWorld } from '../../workflow/workflowWorld.js';

interface Steps {
  world: WorkflowWorld;
}

const INTERVAL_MS = 60_000;
const SHORT_TASK_MS = 20;
const MAX_OCCURRENCE = 40;

async function submitDue(steps: Steps, id: string, specs: StepSpec[], count: number) {
  const schedule = { firstMs: Date.now() - count * INTERVAL_MS, intervalMs: INTERVAL_MS, count };
  await steps.world.submit(id, specs, { schedule });
}

When(
  'job {string} of 1 task that was due {int} times is submitted',
  async function submit(this: Steps, id: string, count: number) {
    await submitDue(this, id, [createStep({})], count);
  },
);

When(
  /^(job|gang job) "(\w+)" of (\d+) tasks of (\d+) ms that was due (\d+) times is submitted$/,
  async function submit(this: Steps, kind: string, id: string, tasks, ms, count) {
    for (const worker of this.world.driver.workers.values()) worker.durationMs = Number(ms);
    const spec = { taskCount: Number(tasks), isGang: kind === 'gang job', estimateMs: Number(ms) };
    await submitDue(this, id, [createStep(spec)], Number(count));
  },
);

When(
  'job {string} with a second step that no worker may run, which was due {int} times, is submitted',
  async function submit(this: Steps, id: string, count: number) {
    for (const worker of this.world.driver.workers.values()) worker.durationMs = SHORT_TASK_MS;
    const second = createStep({ dependsOn: [0], requiredLabel: 'none' });
    await submitDue(this, id, [createStep({}), second], count);
  },
);

/** Gives a snapshot the form of the previous release, which kept the records of all occurrences. */
function addRecordsOfCompleted(snapshot: any): unknown {
  for (const job of snapshot.jobs) {
    for (const [from, to] of (job.completed ?? []) as OccurrenceRanges) {
      for (let occurrence = from; occurrence < to; occurrence += 1) {
        job.spec.steps.forEach(({ taskCount }: StepSpec, step: number) => {
          const task = { isDone: true, lastRun: 1, failures: 0, runs: [] };
          const tasks = Array.from({ length: taskCount }, () => ({ ...task }));
          const counts = { doneCount: taskCount, gangFailures: 0, lastFailedGangRun: 0 };
          const record = { occurrence, step, isCompleted: true, ...counts, tasks };
          job.steps.push([stepKey(occurrence, step), record]);
        });
      }
    }
    delete job.completed;
  }
  return snapshot;
}

When(
  /^the state is restored from a snapshot of (this|the previous) release$/,
  async function restore(this: Steps, release: string) {
    const convert = release === 'this' ? (it: unknown) => it : addRecordsOfCompleted;
    await this.world.restoreState(convert);
  },
);

When(
  'the start of run {int} of task {string} is committed',
  async function commit(this: Steps, run: number, name: string) {
    const task = parseTaskName(name)!;
    await this.world.log.propose({ type: 'start', runs: [{ task, run, endpoint: 'none' }] });
  },
);

When(
  'the end of run {int} of task {string} is committed',
  async function commit(this: Steps, run: number, name: string) {
    const task = parseTaskName(name)!;
    await this.world.log.propose({ type: 'end', runs: [{ task, run, outcome: 'done' }] });
  },
);

When(
  'the ends {string} of run {int} of task {string} are committed',
  async function commit(this: Steps, outcomes: string, run: number, name: string) {
    const task = parseTaskName(name)!;
    for (const outcome of outcomes.split(' ') as RunOutcome[]) {
      await this.world.log.propose({ type: 'end', runs: [{ task, run, outcome }] });
    }
  },
);

Then(
  /^task "(\S+)" has (\d+) failures and is (not )?done$/,
  function check(this: Steps, name: string, failures: string, negation: string | null) {
    const task = this.world.state.findTask(parseTaskName(name)!)!;
    assert.equal(task.failures, Number(failures));
    assert.equal(task.isDone, negation === null);
  },
);

Then(
  'run {int} of task {string} is recorded, and the task is done',
  function check(this: Steps, run: number, name: string) {
    const task = this.world.state.findTask(parseTaskName(name)!)!;
    assert.equal(task.isDone, true);
    assert.deepEqual(
      task.runs.map((it) => it.run),
      [run],
    );
  },
);

Then('job {string} has {int} open step', function check(this: Steps, id: string, count: number) {
  assert.equal(this.world.job(id).openSteps, count);
});

Then('at most {int} steps are ready', async function check(this: Steps, max: number) {
  await this.world.advance(500);
  const metrics = await this.world.meter.registry.metrics();
  const count = Number(/^lagoongap_waiting_steps\{.*\} (\d+)$/m.exec(metrics)?.[1]);
  assert.ok(count > 0 && count <= max, `${count} steps`);
});

Then(
  'job {string} has records of at most {int} step(s)',
  function check(this: Steps, id: string, max: number) {
    const { size } = this.world.job(id).steps;
    assert.ok(size <= max, `${size} records`);
  },
);

Then('ranges of random occurrences are exact, disjoint and in order', () => {
  const occurrences = fc.array(fc.integer({ min: 0, max: MAX_OCCURRENCE }));
  fc.assert(
    fc.property(occurrences, (added) => {
      const ranges: OccurrenceRanges = [];
      for (const occurrence of added) addOccurrence(ranges, occurrence);
      const expected = new Set(added);
      for (let n = 0; n <= MAX_OCCURRENCE + 1; n += 1) {
        assert.equal(includesOccurrence(ranges, n), expected.has(n));
        let next = n;
        while (expected.has(next)) next += 1;
        assert.equal(skipOccurrences(ranges, n), next);
      }
      const bounds = ranges.flat();
      assert.ok(bounds.every((bound, i) => i === 0 || bound > bounds[i - 1]!));
    }),
  );
});
