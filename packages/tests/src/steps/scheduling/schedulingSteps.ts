import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { DataTable } from '@cucumber/cucumber';

import type { AttemptOutcome } from '@lagoongap/model/workload.js';

import { SchedulingWorld } from './schedulingWorld.js';
import type { Row } from './schedulingWorld.js';

interface World {
  scheduling: SchedulingWorld;
}

function listRows(table: DataTable): Row[] {
  return table.hashes().map((row) => {
    const filled = Object.entries(row).filter(([, value]) => value !== '');
    return Object.fromEntries(filled);
  });
}

function countBy(values: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const value of values) counts[value] = (counts[value] ?? 0) + 1;
  return counts;
}

Given(
  'a scheduler with a rule that grants the works {string}',
  function start(this: World, works: string) {
    this.scheduling = new SchedulingWorld();
    this.scheduling.grant(works.split(' '));
  },
);

Given('the scheduler has the endpoints', function addEndpoints(this: World, table: DataTable) {
  for (const row of listRows(table)) this.scheduling.addEndpoint(row);
});

Given('the scheduler has the teams', function addTeams(this: World, table: DataTable) {
  for (const row of listRows(table)) this.scheduling.setTeam(row);
});

When('the scheduler enqueues the units', function enqueue(this: World, table: DataTable) {
  for (const row of listRows(table)) this.scheduling.enqueue(row);
});

When('the scheduler runs a cycle', function decide(this: World) {
  this.scheduling.decide();
});

When(
  'the scheduler runs a cycle with at most {int} placements',
  function decide(this: World, maxPlacements: number) {
    this.scheduling.decide(maxPlacements);
  },
);

When('the scheduler runs cycles for {int} ms', function run(this: World, durationMs: number) {
  this.scheduling.run(durationMs, 50);
});

When(
  'the scheduler runs cycles for {int} ms while a running unit of {word} ends every {int} ms',
  function runWithEnds(this: World, durationMs: number, team: string, everyMs: number) {
    const world = this.scheduling;
    world.run(durationMs, everyMs, () => {
      const running = [...world.driver.checker.active.values()];
      const first = running.find(({ attempt }) => attempt.team === team);
      if (first) world.driver.release(first.attempt.id, 'succeeded', world.nowMs);
    });
  },
);

When('{int} ms pass for the scheduler', function pass(this: World, durationMs: number) {
  this.scheduling.nowMs += durationMs;
});

When(
  'scheduled unit {word} ends as {word}',
  function end(this: World, id: string, outcome: string) {
    this.scheduling.release(id, outcome as AttemptOutcome);
  },
);

When(
  'scheduled unit {word} reports {float} cores and {float} GiB',
  function observe(this: World, id: string, cores: number, gib: number) {
    this.scheduling.observe(id, cores, gib);
  },
);

When('scheduled unit {word} is cancelled', function cancel(this: World, id: string) {
  this.scheduling.driver.cancel(id);
});

Then('the units placed so far are {string}', function checkOrder(this: World, ids: string) {
  const placed = [...new Set(this.scheduling.placed.map(({ unitId }) => unitId))];
  assert.equal(placed.join(' '), ids);
});

Then('unit {word} has been placed', function checkPlaced(this: World, id: string) {
  assert.ok(this.scheduling.placed.some(({ unitId }) => unitId === id));
});

Then(
  'unit {word} runs on {string}',
  function checkEndpoints(this: World, id: string, endpointIds: string) {
    const endpoints = this.scheduling.listRunning(id).map(({ endpointId }) => endpointId);
    assert.equal(endpoints.sort().join(' '), endpointIds);
  },
);

Then('{int} tasks of unit {word} run', function checkCount(this: World, count: number, id: string) {
  assert.equal(this.scheduling.listRunning(id).length, count);
});

Then('each of {string} runs {int} tasks', function checkLoad(this: World, ids: string, n: number) {
  const active = [...this.scheduling.driver.checker.active.values()];
  const counts = countBy(active.map(({ attempt }) => attempt.endpointId));
  assert.deepEqual(counts, Object.fromEntries(ids.split(' ').map((id) => [id, n])));
});

Then('team {word} runs {int} tasks', function checkTeam(this: World, team: string, count: number) {
  const active = [...this.scheduling.driver.checker.active.values()];
  assert.equal(active.filter(({ attempt }) => attempt.team === team).length, count);
});

Then('unit {word} reserves {float} cores', function checkSize(this: World, id: string, n: number) {
  assert.equal(this.scheduling.listRunning(id)[0]?.size.cpuMillis, n * 1000);
});

Then(
  'unit {word} was rejected as {word} because {string}',
  function checkReject(this: World, id: string, reason: string, text: string) {
    const found = this.scheduling.rejected.find(({ unit }) => unit.id === id);
    assert.equal(found?.reason, reason);
    assert.match(found.message, new RegExp(text));
  },
);

Then('no unit was rejected', function checkNoReject(this: World) {
  assert.deepEqual(this.scheduling.rejected, []);
});

Then(
  'the preemption orders so far are {string}',
  function checkOrders(this: World, expected: string) {
    const orders = this.scheduling.preempted.map(
      ({ attemptId, action }) => `${action} ${attemptId.split('.')[0]}`,
    );
    assert.equal(orders.join(', '), expected);
  },
);

Then('the placement checker has reported no fault', function checkFaults(this: World) {
  assert.deepEqual(this.scheduling.driver.faults, []);
});

When(
  'scheduled units b1 to b{int} report {float} cores and {float} GiB',
  function observeAll(this: World, count: number, cores: number, gib: number) {
    for (let i = 1; i <= count; i++) this.scheduling.observe(`b${i}`, cores, gib);
  },
);

When(
  'scheduled units b1 to b{int} end as {word}',
  function endAll(this: World, count: number, outcome: string) {
    for (let i = 1; i <= count; i++) this.scheduling.release(`b${i}`, outcome as AttemptOutcome);
  },
);

When(
  '{int} units from b2 on are cancelled within {int} ms of processor time',
  function cancelAll(this: World, count: number, boundMs: number) {
    const { scheduler, checker } = this.scheduling.driver;
    const before = process.cpuUsage();
    for (let i = 2; i <= count + 1; i++) assert.ok(scheduler.cancel(`b${i}`));
    const { user } = process.cpuUsage(before);
    for (let i = 2; i <= count + 1; i++) checker.cancel(`b${i}`);
    assert.ok(user / 1000 < boundMs, `took ${user / 1000} ms`);
  },
);
