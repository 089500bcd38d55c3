import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { encodePayload } from '@lagoongap/storage/payloadCodec.js';
import type { EndedRun, WorkflowCommand } from '@lagoongap/workflow/workflowCommand.js';
import { WorkflowState } from '@lagoongap/workflow/workflowState.js';

import { createStep, WorkflowWorld, type StepRow } from '../../workflow/workflowWorld.js';

interface SessionSteps {
  world: WorkflowWorld;
  /** State of a replica that applies the recorded commands. */
  replica?: WorkflowState;
  ends: EndedRun[];
}

const TASK_MS = 500;
const JOB_INTERVAL_MS = 20;

/** Applies all further commands to a replica as well. */
function addReplica(steps: SessionSteps): void {
  const { state } = steps.world;
  const replica = new WorkflowState();
  replica.restore(structuredClone(state.snapshot()));
  steps.replica = replica;
  steps.ends = [];
  const apply = state.apply.bind(state);
  state.apply = (entry) => {
    const command = structuredClone(entry.command) as WorkflowCommand;
    if (command.type === 'end') steps.ends.push(...command.runs);
    replica.apply({ ...entry, command });
    return apply(entry);
  };
}

Given('a workflow leader without learned durations', function create(this: SessionSteps) {
  this.world = new WorkflowWorld({}, {}, new Set());
});

When(
  '{int} jobs with estimates of {int} ms, which take 500 ms, complete',
  async function complete(this: SessionSteps, count: number, estimateMs: number) {
    if (!this.replica) addReplica(this);
    const ids = Array.from({ length: count }, (_, i) => `job-${this.ends.length + i}`);
    for (const id of ids) {
      await this.world.submit(id, [createStep({ estimateMs })]);
      await this.world.advance(JOB_INTERVAL_MS);
    }
    await this.world.advance(2 * TASK_MS);
    for (const id of ids) assert.equal(this.world.job(id).status, 'completed');
  },
);

When(
  'the state is restored from a snapshot without durations',
  async function restore(this: SessionSteps) {
    await this.world.restoreState((snapshot) => {
      const { durations, ...former } = snapshot as { durations: unknown };
      assert.ok(durations);
      return former;
    });
  },
);

Then(
  'a job with an estimate of {int} ms is expected to take {int} to {int} ms',
  function check(this: SessionSteps, estimateMs: number, min: number, max: number) {
    const work = { queue: 'q', organisation: 'o', spec: createStep({ estimateMs }) };
    const { medianMs } = this.world.state.durations.expect(work);
    const rounded = Math.round(medianMs);
    assert.ok(rounded >= min && rounded <= max, `${medianMs} ms`);
  },
);

const TRAITS: Record<string, StepRow> = {
  'fails at first': {},
  'reads data from a rack': { dataRack: 'r1' },
  'fills idle capacity': { fillsIdleCapacity: true },
  'ends while the event loop is blocked': {},
};

When(
  /^a job completes whose task (.+)$/,
  async function completeOdd(this: SessionSteps, trait: string) {
    const workers = [...this.world.driver.workers.values()];
    const isFailing = trait === 'fails at first';
    if (isFailing) for (const worker of workers) worker.behaviour = 'failing';
    await this.world.submit('odd', [createStep(TRAITS[trait]!)]);
    await this.world.advance(JOB_INTERVAL_MS);
    for (const worker of workers) worker.behaviour = 'sound';
    if (trait.includes('blocked')) await this.world.blockEventLoop(4 * TASK_MS);
    await this.world.advance(4 * TASK_MS);
    assert.equal(this.world.job('odd').status, 'completed');
  },
);

Then('no duration has been learned', function check(this: SessionSteps) {
  assert.equal(this.world.state.durations.size, 0);
});

Then(
  'a replica that applies the same commands has the same durations',
  function compare(this: SessionSteps) {
    const { state } = this.world;
    assert.ok(state.durations.size > 0);
    assert.deepEqual(this.replica!.durations.snapshot(), state.durations.snapshot());
  },
);

Then(
  'the duration of a run adds at most {int} bytes to its end',
  function checkSize(this: SessionSteps, max: number) {
    for (const { durationMs, ...end } of this.ends) {
      const bytes = encodePayload({ ...end, durationMs }).length - encodePayload(end).length;
      assert.ok(durationMs !== undefined && bytes <= max, `${bytes} bytes`);
    }
  },
);

When(
  'a job of {int} tasks that may be copied, with estimates of {int} ms, runs for {int} ms',
  async function runCopied(this: SessionSteps, taskCount: number, estimateMs: number, ms: number) {
    await this.world.submit('copied', [createStep({ taskCount, estimateMs, allowsCopies: true })]);
    await this.world.advance(ms);
  },
);

Then(/^(at least 1|no) task was copied$/, function checkCopies(this: SessionSteps, amount: string) {
  const hasCopy = this.world.driver.started.some((run) => run.endsWith(':2'));
  assert.equal(hasCopy, amount !== 'no');
});

Then(
  'jobs are expected to be late, each of which is logged once',
  async function checkLate(this: SessionSteps) {
    const metrics = await this.world.meter.registry.metrics();
    const [, count] = /^lagoongap_jobs_expected_late\{priority="1"\} (\d+)$/m.exec(metrics) ?? [];
    assert.ok(Number(count) > 0, `${count} jobs`);
    const jobs = this.world.logger
      .find('job is expected to be late')
      .map(({ fields }) => fields.job);
    assert.ok(jobs.length > 0);
    assert.equal(new Set(jobs).size, jobs.length);
  },
);
