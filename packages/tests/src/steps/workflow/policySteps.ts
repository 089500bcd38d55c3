import assert from 'node:assert/strict';

import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { nextPace } from '@lagoongap/workflow/bestEffortThrottle.js';
import { BlockedSteps } from '@lagoongap/workflow/blockedSteps.js';
import type { QueuePolicy } from '@lagoongap/workflow/cellConfig.js';
import { RunLedger } from '@lagoongap/workflow/runLedger.js';
import type { ReadyStep } from '@lagoongap/workflow/readySteps.js';
import { orderSteps } from '@lagoongap/workflow/stepOrder.js';
import { TicketCache } from '@lagoongap/workflow/ticketCache.js';
import { createJob } from '@lagoongap/workflow/workflowState.js';
import { LeaseClock } from '@lagoongap/workflow/leaseClock.js';
import { DurationEstimator } from '@lagoongap/workflow/durationEstimator.js';
import {
  EndpointSelector,
  type PlacementCandidate,
  type PlacementPreference,
} from '@lagoongap/workflow/stepPlacer.js';
import { toPatientFactor } from '@lagoongap/workflow/stepOrdering.js';
import { SuspensionDetector } from '@lagoongap/workflow/suspensionDetector.js';
import FakeTimers from '@sinonjs/fake-timers';

import { createStep, type StepRow } from '../../workflow/workflowWorld.js';

interface PolicyWorld {
  endpoints: Record<string, string>[];
  leaseClock: LeaseClock;
  detectorClock?: ReturnType<typeof FakeTimers.install>;
  suspensionDetector: SuspensionDetector;
  durations: DurationEstimator;
  waiting: ReadyStep[];
  queues: QueuePolicy[];
  ledger: RunLedger;
  tickets: TicketCache;
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
  world.tickets.record({ asked: [endpoint], good: [{ endpoint, ticket: 't' }], expiresMs });
}

/** Adds a run on an endpoint and removes it again, as ended or as tentative. */
function addAndRemoveRun(
  world: PolicyWorld,
  endpoint: string,
  method: 'release' | 'withdraw',
): void {
  const size = { ...NO_RESOURCES, cpuMillis: 1 };
  const key = `run-${endpoint}`;
  const reservation = { key, endpoint, organisation: 'o', stepName: 's', size };
  world.ledger.reserve({ ...reservation, fillsIdleCapacity: false });
  world.ledger[method](key);
}

function isSkipped(world: PolicyWorld): boolean {
  const { tickets, blocked, waiting } = world;
  const conditions = { step: waiting[0]!, tickets, isWithinLimit: true, hasCapacity: () => true };
  return blocked.isBlocked(conditions, performance.now());
}

function recordBlocked(world: PolicyWorld): void {
  const { tickets, blocked, waiting } = world;
  tickets.tryBeginSearch();
  const conditions = { step: waiting[0]!, tickets, isWithinLimit: true, hasCapacity: () => true };
  blocked.recordBlocked(conditions, waiting[0]!.waiting.length);
}

After(function restoreClock(this: PolicyWorld) {
  this.detectorClock?.uninstall();
});

function choose(
  world: PolicyWorld,
  step: StepRow,
  preference?: PlacementPreference,
): string | undefined {
  const rowOf = ({ id }: PlacementCandidate): Record<string, string> =>
    world.endpoints.find((row) => row.id === id)!;
  const candidates = world.endpoints.map((row) => ({
    id: row.id!,
    kind: 'a',
    rack: row.rack ?? '',
    labels: [],
    capacity: { ...NO_RESOURCES, cpuMillis: Number(row.cores ?? 0) * 1000 },
    durationFactor: Number(row.factor),
    isLatencySensitive: row.sensitive === 'yes',
  }));
  const usage = {
    fits: () => true,
    countOn: (endpoint: PlacementCandidate) => Number(rowOf(endpoint).tasks ?? 0),
    failuresOn: (endpoint: PlacementCandidate) => Number(rowOf(endpoint).failures ?? 0),
    loadOf: (endpoint: PlacementCandidate) => Number(rowOf(endpoint).load),
  };
  const spec = createStep(step);
  return new EndpointSelector(spec, candidates, usage, FAR_FACTOR, preference).choose()?.id;
}

Then(
  'best-effort tasks at {int} % with a tail of {float} of its target, unchanged for {int} ms, continue at {int} %',
  (pace: number, ratio: number, sinceMs: number, next: number) => {
    assert.equal(nextPace(pace, ratio, sinceMs), next);
  },
);

Given('the candidate endpoints', function setEndpoints(this: PolicyWorld, table: DataTable) {
  this.endpoints = table.hashes();
});

Then('a task is placed on {string}', function check(this: PolicyWorld, id: string) {
  assert.equal(choose(this, {}), id);
});

Then(
  'a task with data in rack {string} is placed on {string}',
  function checkData(this: PolicyWorld, dataRack: string, id: string) {
    assert.equal(choose(this, { dataRack }), id);
  },
);

Then(
  'a best-effort task is placed on {string}',
  function checkBestEffort(this: PolicyWorld, id: string) {
    assert.equal(choose(this, { fillsIdleCapacity: true }), id);
  },
);

Then(
  'a task of {int} ms with a slack of {int} ms is placed on {string}',
  function checkPatient(this: PolicyWorld, pathMs: number, slackMs: number, id: string) {
    const patientFactor = toPatientFactor({ slackMs, pathMs, targetMs: slackMs + pathMs });
    assert.equal(choose(this, {}, { patientFactor }), id);
  },
);

Then(
  'a task of {int} cores is placed on {string}',
  function checkSize(this: PolicyWorld, cores: number, id: string) {
    assert.equal(choose(this, { cores }, { patientFactor: 0 }), id);
  },
);

Given(
  'an endpoint clock that was read as {int} ms at {int} ms',
  function readClock(this: PolicyWorld, clockMs: number, receivedMs: number) {
    this.leaseClock = new LeaseClock();
    this.leaseClock.observe({ clockMs, sentMs: receivedMs, receivedMs });
  },
);

When(
  'a heartbeat with a reading of {int} ms arrives at {int} ms',
  function observe(this: PolicyWorld, clockMs: number, receivedMs: number) {
    this.leaseClock.observeHeartbeat(clockMs, receivedMs);
  },
);

When(
  'a lease of {int} ms is granted at {int} ms',
  function grant(this: PolicyWorld, leaseMs: number, nowMs: number) {
    this.leaseClock.grant(leaseMs, nowMs);
  },
);

Then(
  /^a reading of (\d+) ms in a response from (\d+) to (\d+) ms is (not )?of this incarnation$/,
  function check(this: PolicyWorld, clockMs: string, sentMs: string, receivedMs: string, negation) {
    const reading = { clockMs: Number(clockMs), sentMs: Number(sentMs) };
    const isPossible = this.leaseClock.isPossible({ ...reading, receivedMs: Number(receivedMs) });
    assert.equal(isPossible, negation === null);
  },
);

Then('the lease may be valid at {int} ms', function checkHeld(this: PolicyWorld, nowMs: number) {
  assert.equal(this.leaseClock.hasExpired(nowMs), false);
});

Then('the lease has certainly expired at {int} ms', function checkEnd(this: PolicyWorld, nowMs) {
  assert.equal(this.leaseClock.hasExpired(nowMs), true);
});

Then(
  "a lease of {int} ms granted at {int} ms ends at {int} ms on the endpoint's clock",
  function checkGrant(this: PolicyWorld, leaseMs: number, nowMs: number, untilMs: number) {
    assert.equal(this.leaseClock.grant(leaseMs, nowMs), untilMs);
  },
);

Given(
  'a suspension detector with a recovery time of {int} ms',
  function createDetector(this: PolicyWorld, ms) {
    this.detectorClock = FakeTimers.install({ toFake: ['performance', 'Date'] });
    this.suspensionDetector = new SuspensionDetector(ms);
  },
);

When('the process is suspended for {int} ms', function suspend(this: PolicyWorld, ms: number) {
  this.detectorClock!.setSystemTime(Date.now() + ms);
});

When('{int} ms pass on both clocks', function pass(this: PolicyWorld, ms: number) {
  this.detectorClock!.tick(ms);
});

Then('the clock is reliable', function checkReliable(this: PolicyWorld) {
  assert.equal(this.suspensionDetector.isClockReliable(), true);
});

Then('the clock is not reliable', function checkUnreliable(this: PolicyWorld) {
  assert.equal(this.suspensionDetector.isClockReliable(), false);
});

When(
  '{int} tasks of kind {string} take {int} ms instead of {int} ms',
  function recordRuns(
    this: PolicyWorld,
    count: number,
    kind: string,
    actualMs: number,
    ms: number,
  ) {
    this.durations ??= new DurationEstimator();
    for (let i = 0; i < count; i += 1) this.durations.record(`w${i % 4}`, kind, ms, actualMs);
  },
);

When(
  '{int} tasks on {string} of kind {string} take {int} ms instead of {int} ms',
  function recordRunsOn(this: PolicyWorld, count: number, id: string, kind: string, actualMs, ms) {
    for (let i = 0; i < count; i += 1) this.durations.record(id, kind, ms, actualMs);
  },
);

Then(
  'a task of kind {string} is expected to take {float} times its estimate',
  function checkKind(this: PolicyWorld, kind: string, factor: number) {
    assert.ok(Math.abs(this.durations.kindFactor(kind) - factor) < 0.05);
  },
);

Then(
  '{string} is at least {int} times slower than its kind',
  function checkSlow(this: PolicyWorld, id: string, factor: number) {
    assert.ok(this.durations.slowdown(id) >= factor, `${this.durations.slowdown(id)}`);
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
      /** Usage per weight of the organisation, which also serves as its name. */
      use?: string;
    }[];
    const objectiveMs = Number(targetMs) - Number(estimateMs);
    this.queues = rows.map(({ priority }) => createQueue(priority, objectiveMs));
    this.waiting = rows.map(({ id, priority, waitedMs, use = '0' }) =>
      createWaiting(id, priority, Number(waitedMs), step, use),
    );
  },
);

Then(
  'they are scheduled in the order {string}',
  function checkOrder(this: PolicyWorld, ids: string) {
    const findQueue = (name: string) => this.queues.find((queue) => queue.name === name);
    const ordered = orderSteps(this.waiting, { findQueue, readUsage: Number, wallMs: NOW_MS });
    assert.equal(ordered.map(({ name }) => name).join(' '), ids);
  },
);

Given(
  'a step of {int} tasks that could not be placed, with tickets for {string}',
  function block(this: PolicyWorld, taskCount: number, endpoint: string) {
    this.ledger = new RunLedger();
    this.tickets = new TicketCache();
    this.blocked = new BlockedSteps(this.ledger);
    this.waiting = [createWaiting('s', '0', 0, { taskCount })];
    addTicket(this, endpoint);
    recordBlocked(this);
  },
);

When('a run on {string} is released', function release(this: PolicyWorld, endpoint: string) {
  addAndRemoveRun(this, endpoint, 'release');
});

When('a run on {string} is withdrawn', function withdraw(this: PolicyWorld, endpoint: string) {
  addAndRemoveRun(this, endpoint, 'withdraw');
});

When('its placement fails again', function failAgain(this: PolicyWorld) {
  recordBlocked(this);
});

When('a ticket for {string} arrives', function arrive(this: PolicyWorld, endpoint: string) {
  addTicket(this, endpoint);
});

Then('it is skipped', function checkBlocked(this: PolicyWorld) {
  assert.equal(isSkipped(this), true);
});

Then('it is re-evaluated', function checkUnblocked(this: PolicyWorld) {
  assert.equal(isSkipped(this), false);
});
