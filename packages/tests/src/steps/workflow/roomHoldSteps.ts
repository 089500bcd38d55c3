import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';
import { BlockedSteps, type PlacementConditions } from '@lagoongap/workflow/blockedSteps.js';
import { PlacementRoom } from '@lagoongap/workflow/placementRoom.js';
import type { Quarantine } from '@lagoongap/workflow/quarantine.js';
import type { ReadyStep } from '@lagoongap/workflow/readySteps.js';
import { RoomHolds } from '@lagoongap/workflow/roomHolds.js';
import { RunLedger } from '@lagoongap/workflow/runLedger.js';

import { createReadyStep, createStep } from '../../workflow/workflowWorld.js';

const ENDPOINT = 'e';
const ORGANISATION = 'o';

function toCores(cores: number): Resources {
  return { ...NO_RESOURCES, cpuMillis: cores * 1000 };
}

/** Steps, holds and runs around one endpoint. */
class HoldWorld {
  readonly ledger = new RunLedger();
  readonly holds = new RoomHolds((endpoint) => this.ledger.recordUnheld(endpoint));
  readonly blocked = new BlockedSteps(this.ledger);
  readonly startMs = performance.now();
  readonly room: PlacementRoom;
  limit: Resources | undefined;

  constructor(readonly capacity: Resources) {
    // Nothing is suspected of crashes.
    const quarantine = { hasCrashed: () => false, isOpen: () => true } as unknown as Quarantine;
    const { ledger, holds } = this;
    this.room = new PlacementRoom({ ledger, quarantine, holds, countFailures: () => 0 });
  }

  createStep(name: string, cores: number): ReadyStep {
    const step = createReadyStep(createStep({ size: toCores(cores) }));
    return { ...step, name };
  }

  createConditions(step: ReadyStep, priority: number): PlacementConditions {
    const { room, limit, capacity } = this;
    return {
      step,
      isWithinLimit: room.isWithinLimit({ step, priority, limit }),
      hasCapacity: (id) => {
        const candidate = {
          id,
          kind: '',
          rack: '',
          labels: [],
          capacity,
          durationFactor: 1,
          isLatencySensitive: false,
        };
        return room.hasCapacity(candidate, step, priority);
      },
    };
  }
}

interface Steps {
  held: HoldWorld;
  conditions: () => PlacementConditions;
}

Given(
  'an endpoint of {int} cores of which {int} are held for step {string} of priority {int} for {int} ms',
  function hold(
    this: Steps,
    cores: number,
    held: number,
    step: string,
    priority: number,
    ms: number,
  ) {
    this.held = new HoldWorld(toCores(cores));
    this.held.holds.add({
      endpoint: ENDPOINT,
      step,
      organisation: ORGANISATION,
      priority,
      size: toCores(held),
      untilMs: this.held.startMs + ms,
    });
  },
);

Given('a limit of {int} cores', function limit(this: Steps, cores: number) {
  this.held.limit = toCores(cores);
});

Then(
  /^a task of (\d+) cores of step "(\w+)" of priority (\d+) (fits|does not fit) there after (\d+) ms$/,
  function check(
    this: Steps,
    cores: string,
    step: string,
    priority: string,
    fits: string,
    ms: string,
  ) {
    const { holds, ledger, capacity, startMs } = this.held;
    const held = holds.heldAgainst(ENDPOINT, step, Number(priority), startMs + Number(ms));
    const open = { ...capacity, cpuMillis: capacity.cpuMillis - held.cpuMillis };
    const hasCapacity = ledger.hasCapacity(ENDPOINT, open, toCores(Number(cores)), false);
    assert.equal(hasCapacity, fits === 'fits');
  },
);

Then(
  /^a task of (\d+) cores of step "(\w+)" of priority (\d+) (exceeds|is within) the limit$/,
  function check(this: Steps, cores: string, name: string, priority: string, isWithin: string) {
    const { room, limit } = this.held;
    const step = this.held.createStep(name, Number(cores));
    const result = room.isWithinLimit({ step, priority: Number(priority), limit });
    assert.equal(result, isWithin === 'is within');
  },
);

Given(
  'step {string} of {int} cores of priority {int} is blocked',
  function block(this: Steps, name: string, cores: number, priority: number) {
    const step = this.held.createStep(name, cores);
    this.conditions = () => this.held.createConditions(step, priority);
    this.held.blocked.recordBlocked(this.conditions(), step.waiting.length);
    assert.ok(this.held.blocked.isBlocked(this.conditions(), performance.now()));
  },
);

When('the hold expires', function expire(this: Steps) {
  const expired = this.held.holds.removeExpired(this.held.startMs + 10_000);
  assert.equal(expired.length, 1);
});

When('the hold is released', function release(this: Steps) {
  this.held.holds.release('u');
});

When('step {string} starts a task of {int} cores', function start(this: Steps, name, cores) {
  const { holds, ledger } = this.held;
  ledger.reserve({
    key: 'run',
    endpoint: ENDPOINT,
    organisation: ORGANISATION,
    stepName: name,
    size: toCores(cores),
    fillsIdleCapacity: false,
  });
  assert.ok(holds.use(name, ENDPOINT));
});

Then(/^step "other" is( not)? blocked$/, function check(this: Steps, not: string | null) {
  const isBlocked = this.held.blocked.isBlocked(this.conditions(), performance.now());
  assert.equal(isBlocked, not === null);
});
