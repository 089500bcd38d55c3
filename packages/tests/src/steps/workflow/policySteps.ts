import assert from 'node:assert/strict';

import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { nextPace } from '@lagoongap/workflow/interferenceGuard.js';
import { LeaseClock } from '@lagoongap/workflow/leaseClock.js';
import { SpeedLearner } from '@lagoongap/workflow/speedLearner.js';
import { choosePlace, type PlacementCandidate } from '@lagoongap/workflow/stepPlacer.js';
import { SuspensionGuard } from '@lagoongap/workflow/suspensionGuard.js';
import FakeTimers from '@sinonjs/fake-timers';

import { createStep, type StepRow } from '../../workflow/workflowWorld.js';

interface PolicyWorld {
  places: Record<string, string>[];
  leaseClock: LeaseClock;
  guardClock?: ReturnType<typeof FakeTimers.install>;
  guard: SuspensionGuard;
  speeds: SpeedLearner;
}

const FAR_FACTOR = 3;

After(function restoreClock(this: PolicyWorld) {
  this.guardClock?.uninstall();
});

function choose(world: PolicyWorld, step: StepRow): string | undefined {
  const rowOf = ({ id }: PlacementCandidate): Record<string, string> =>
    world.places.find((row) => row.id === id)!;
  const candidates = world.places.map((row) => ({
    id: row.id!,
    kind: 'a',
    rack: row.rack ?? '',
    labels: [],
    capacity: NO_RESOURCES,
    durationFactor: Number(row.factor),
    isServing: row.serving === 'yes',
  }));
  const room = {
    fits: () => true,
    countOn: () => 0,
    troubleOn: (place: PlacementCandidate) => Number(rowOf(place).trouble ?? 0),
    loadOf: (place: PlacementCandidate) => Number(rowOf(place).load),
  };
  return choosePlace(createStep(step), candidates, room, FAR_FACTOR)?.id;
}

Then(
  'filling work at {int} % beside a tail of {float} of its target, unchanged for {int} ms, goes on at {int} %',
  (pace: number, ratio: number, sinceMs: number, next: number) => {
    assert.equal(nextPace(pace, ratio, sinceMs), next);
  },
);

Given('the places', function setPlaces(this: PolicyWorld, table: DataTable) {
  this.places = table.hashes();
});

Then('a task goes to {string}', function check(this: PolicyWorld, id: string) {
  assert.equal(choose(this, {}), id);
});

Then(
  'a task with data in rack {string} goes to {string}',
  function checkData(this: PolicyWorld, dataRack: string, id: string) {
    assert.equal(choose(this, { dataRack }), id);
  },
);

Then('a filling task goes to {string}', function checkFilling(this: PolicyWorld, id: string) {
  assert.equal(choose(this, { fillsIdleCapacity: true }), id);
});

Given(
  'an endpoint clock that was read as {int} ms at {int} ms',
  function readClock(this: PolicyWorld, clockMs: number, receivedMs: number) {
    this.leaseClock = new LeaseClock();
    this.leaseClock.observe({ clockMs, sentMs: receivedMs, receivedMs });
  },
);

When(
  'a lease of {int} ms is granted at {int} ms',
  function grant(this: PolicyWorld, leaseMs: number, nowMs: number) {
    this.leaseClock.grant(leaseMs, nowMs);
  },
);

Then('the lease may hold at {int} ms', function checkHeld(this: PolicyWorld, nowMs: number) {
  assert.equal(this.leaseClock.hasExpired(nowMs), false);
});

Then('the lease has certainly ended at {int} ms', function checkEnd(this: PolicyWorld, nowMs) {
  assert.equal(this.leaseClock.hasExpired(nowMs), true);
});

Then(
  "a lease of {int} ms granted at {int} ms ends at {int} ms on the endpoint's clock",
  function checkGrant(this: PolicyWorld, leaseMs: number, nowMs: number, untilMs: number) {
    assert.equal(this.leaseClock.grant(leaseMs, nowMs), untilMs);
  },
);

Given('a guard against suspensions that asks for {int} ms', function guard(this: PolicyWorld, ms) {
  this.guardClock = FakeTimers.install({ toFake: ['performance', 'Date'] });
  this.guard = new SuspensionGuard(ms);
});

When(
  'the time of day goes on for {int} ms while the process stands still',
  function suspend(this: PolicyWorld, ms: number) {
    this.guardClock!.setSystemTime(Date.now() + ms);
  },
);

When('{int} ms pass for both', function pass(this: PolicyWorld, ms: number) {
  this.guardClock!.tick(ms);
});

Then('the guard trusts', function checkTrust(this: PolicyWorld) {
  assert.equal(this.guard.isTrusted(), true);
});

Then('the guard does not trust', function checkDistrust(this: PolicyWorld) {
  assert.equal(this.guard.isTrusted(), false);
});

When(
  '{int} tasks of kind {string} take {int} ms instead of {int} ms',
  function learn(this: PolicyWorld, count: number, kind: string, actualMs: number, ms: number) {
    this.speeds ??= new SpeedLearner();
    for (let i = 0; i < count; i += 1) this.speeds.record(`w${i % 4}`, kind, ms, actualMs);
  },
);

When(
  '{int} tasks on {string} of kind {string} take {int} ms instead of {int} ms',
  function learnOn(this: PolicyWorld, count: number, id: string, kind: string, actualMs, ms) {
    for (let i = 0; i < count; i += 1) this.speeds.record(id, kind, ms, actualMs);
  },
);

Then(
  'a task of kind {string} is expected to take {float} times its estimate',
  function checkKind(this: PolicyWorld, kind: string, factor: number) {
    assert.ok(Math.abs(this.speeds.kindFactor(kind) - factor) < 0.05);
  },
);

Then(
  '{string} is at least {int} times slower than its kind',
  function checkSlow(this: PolicyWorld, id: string, factor: number) {
    assert.ok(this.speeds.slowness(id) >= factor, `${this.speeds.slowness(id)}`);
  },
);
