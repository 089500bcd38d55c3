import assert from 'node:assert/strict';

import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { PreemptionPlanner } from '@lagoongap/workflow/preemptionPlan.js';

import { PlannedFleet, toCores } from '../../workflow/plannedFleet.js';

interface Steps {
  fleet: PlannedFleet;
  planner: PreemptionPlanner;
}

const TIMING = { freeingMs: 300, holdMs: 750 };
const RESTART_MS = 250;
const URGENT_TARGET_MS = 1000;

Given('the running work', function createFleet(this: Steps, table: DataTable) {
  this.fleet = new PlannedFleet();
  this.planner = new PreemptionPlanner(this.fleet, TIMING);
  for (const row of table.hashes()) {
    const read = (name: string, otherwise: number): number => Number(row[name] ?? otherwise);
    this.fleet.addRun({
      key: row.run!,
      step: row.step ?? row.run!,
      endpoint: row.endpoint!,
      pool: 'p',
      organisation: row.organisation ?? 'other',
      priority: read('priority', 2),
      size: toCores(read('cores', 1)),
      remainingMs: read('remaining', 5000),
      slackMs: read('slack', 9000),
      targetMs: read('target', 20_000),
      restartMs: RESTART_MS,
      preemptions: read('preemptions', 0),
    });
  }
});

Given('a free endpoint {string} of {int} cores', function add(this: Steps, id, cores: number) {
  this.fleet.getOrCreateRoom(id as string, cores);
});

Given('the organisation is at its limit', function limit(this: Steps) {
  this.fleet.isAtLimit = true;
});

function plan(
  { fleet, planner }: Steps,
  taskCount: number,
  cores: number,
  slackMs: number,
  ids = [...fleet.rooms.keys()],
): void {
  planner.add({
    name: 'urgent',
    organisation: 'own',
    priority: 0,
    size: toCores(cores),
    taskCount,
    slackMs,
    targetMs: URGENT_TARGET_MS,
    durationMs: 500,
    endpoints: ids.map((id) => ({ id, maxTasks: Infinity })),
  });
}

When(
  'stops are planned for an urgent step of {int} tasks of {int} cores with a slack of {int} ms',
  function planStep(this: Steps, taskCount: number, cores: number, slackMs: number) {
    plan(this, taskCount, cores, slackMs);
  },
);

When(
  'stops are planned for an urgent step of {int} tasks of {int} cores with a slack of {int} ms on {string}',
  function planStep(this: Steps, taskCount: number, cores: number, slackMs: number, id: string) {
    plan(this, taskCount, cores, slackMs, [id]);
  },
);

Then('the runs {string} are stopped', function check(this: Steps, keys: string) {
  const stopped = this.planner.result.stops.map(({ run }) => run.key);
  assert.equal(stopped.sort().join(), keys);
});

Then('{int} run is stopped', function check(this: Steps, count: number) {
  assert.equal(this.planner.result.stops.length, count);
});

Then('room is held on {string}', function check(this: Steps, endpoints: string) {
  assert.equal(this.planner.result.holds.map(({ endpoint }) => endpoint).join(), endpoints);
});

Then('room is held for {int} task', function check(this: Steps, count: number) {
  assert.equal(this.planner.result.holds.length, count);
});
