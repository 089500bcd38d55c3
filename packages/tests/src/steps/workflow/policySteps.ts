import assert from 'node:assert/strict';

import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { nextPace } from '@lagoongap/workflow/interferenceGuard.js';
import { BlockedSteps } from '@lagoongap/workflow/blockedSteps.js';
import type { QueuePolicy } from '@lagoongap/workflow/cellConfig.js';
import { RunLedger } from '@lagoongap/workflow/runLedger.js';
import type { ReadyStep } from '@lagoongap/workflow/readySteps.js';
import { orderSteps } from '@lagoongap/workflow/stepOrder.js';
import { TicketBook } from '@lagoongap/workflow/ticketBook.js';
import { createJob } from '@lagoongap/workflow/workflowState.js';
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
  waiting: ReadyStep[];
  queues: QueuePolicy[];
  ledger: RunLedger;
  book: TicketBook;
  blocked: BlockedSteps;
}

const FAR_FACTOR = 3;
const NOW_MS = 1_700_000_000_000;
const TICKET_MS = 60_000;

function createWaiting(
  id: string,
  queue: string,
  waitedMs: number,
  step: StepRow,
  organisation = 'o',
): ReadyStep {
  const spec = createStep(step);
  const job = createJob({
    type: 'submit',
    id,
    queue,
    organisation,
    maxAttempts: 1,
    acceptedMs: NOW_MS - waitedMs,
    spec: { payload: '', steps: [spec] },
  });
  const waiting = Array.from({ length: spec.taskCount }, (_, index) => index);
  return { name: id, job, occurrence: 0, step: 0, spec, waiting, dueMs: job.acceptedMs };
}

function createQueue(priority: string, targetMs: number): QueuePolicy {
  return {
    name: priority,
    host: 'h',
    pathPrefix: `/${priority}/`,
    pool: 'p',
    priority: Number(priority),
    maxAttempts: 1,
    stretch: 1,
    targetMs,
    isOpen: false,
  };
}

function addTicket(world: PolicyWorld, endpoint: string): void {
  const expiresMs = performance.now() + TICKET_MS;
  world.book.record({ asked: [endpoint], good: [{ endpoint, ticket: 't' }], expiresMs });
}

/** Counts a run on an endpoint and takes it back, as an end or as a trial. */
function passRun(world: PolicyWorld, endpoint: string, how: 'release' | 'withdraw'): void {
  const size = { ...NO_RESOURCES, cpuMillis: 1 };
  const key = `run-${endpoint}`;
  const reservation = { key, endpoint, organisation: 'o', stepName: 's', size };
  world.ledger.reserve({ ...reservation, fillsIdleCapacity: false });
  world.ledger[how](key);
}

function isPassedOver(world: PolicyWorld): boolean {
  const { book, blocked, waiting } = world;
  const chance = { step: waiting[0]!, book, isWithinLimit: true, hasRoom: () => true };
  return blocked.isBlocked(chance, performance.now());
}

function noteNoPlace(world: PolicyWorld): void {
  const { book, blocked, waiting } = world;
  book.mayAsk();
  const chance = { step: waiting[0]!, book, isWithinLimit: true, hasRoom: () => true };
  blocked.note(chance, waiting[0]!.waiting.length);
}

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

Given(
  /^waiting (jobs|services) of (\d+) ms that should end within (\d+) ms$/,
  function setWaiting(this: PolicyWorld, kind, estimateMs, targetMs, table: DataTable) {
    const step = { estimateMs: Number(estimateMs), isService: kind === 'services' };
    const rows = table.hashes() as {
      id: string;
      priority: string;
      waitedMs: string;
      /** Use per weight of the organisation, which is named by it. */
      use?: string;
    }[];
    const objectiveMs = Number(targetMs) - Number(estimateMs);
    this.queues = rows.map(({ priority }) => createQueue(priority, objectiveMs));
    this.waiting = rows.map(({ id, priority, waitedMs, use = '0' }) =>
      createWaiting(id, priority, Number(waitedMs), step, use),
    );
  },
);

Then('they are served in the order {string}', function checkOrder(this: PolicyWorld, ids: string) {
  const findQueue = (name: string) => this.queues.find((queue) => queue.name === name);
  const ordered = orderSteps(this.waiting, { findQueue, readUse: Number, wallMs: NOW_MS });
  assert.equal(ordered.map(({ name }) => name).join(' '), ids);
});

Given(
  'a step of {int} tasks that found no place, with tickets for {string}',
  function block(this: PolicyWorld, taskCount: number, endpoint: string) {
    this.ledger = new RunLedger();
    this.book = new TicketBook();
    this.blocked = new BlockedSteps(this.ledger);
    this.waiting = [createWaiting('s', '0', 0, { taskCount })];
    addTicket(this, endpoint);
    noteNoPlace(this);
  },
);

When('a run on {string} is released', function release(this: PolicyWorld, endpoint: string) {
  passRun(this, endpoint, 'release');
});

When('a run on {string} is withdrawn', function withdraw(this: PolicyWorld, endpoint: string) {
  passRun(this, endpoint, 'withdraw');
});

When('it finds no place again', function again(this: PolicyWorld) {
  noteNoPlace(this);
});

When('a ticket for {string} comes', function come(this: PolicyWorld, endpoint: string) {
  addTicket(this, endpoint);
});

Then('it is passed over', function checkBlocked(this: PolicyWorld) {
  assert.equal(isPassedOver(this), true);
});

Then('it is looked at again', function checkUnblocked(this: PolicyWorld) {
  assert.equal(isPassedOver(this), false);
});
