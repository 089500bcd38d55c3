import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';

import { FairShareScheduler } from '@lagoongap/scheduling/fairShareScheduler.js';
import { FirstFitFifoScheduler } from '@lagoongap/scheduling/firstFitFifoScheduler.js';
import { RandomScheduler } from '@lagoongap/scheduling/randomScheduler.js';
import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';

import { MutantScheduler } from './mutantScheduler.js';
import type { BrokenRule } from './mutantScheduler.js';
import { drainWaiting, schedulerActions, startRun } from './schedulerActions.js';
import { SchedulerDriver } from './schedulerDriver.js';

type Random = () => number;

const SCHEDULERS: Readonly<Record<string, (random: Random) => Scheduler>> = {
  'fair-share': (random) => new FairShareScheduler(random),
  'first-fit': (random) => new FirstFitFifoScheduler(random),
  random: (random) => new RandomScheduler(random),
};

interface PropertyWorld {
  createScheduler: (random: Random) => Scheduler;
  mustDrain: boolean;
  isFailed: boolean;
  report: string;
}

Given(
  'a property-based test of the {word} scheduler',
  function start(this: PropertyWorld, name: string) {
    this.createScheduler = SCHEDULERS[name]!;
    this.mustDrain = name === 'fair-share';
  },
);

Given(
  'a property-based test of a scheduler that breaks the {word} rule',
  function startMutant(this: PropertyWorld, rule: BrokenRule) {
    this.createScheduler = (random) => new MutantScheduler(rule, random);
    this.mustDrain = true;
  },
);

When(
  'it runs {int} random call sequences with seed {int}',
  { timeout: 120_000 },
  function runProperty(this: PropertyWorld, numRuns: number, seed: number) {
    const property = fc.property(schedulerActions, fc.integer(), (actions, schedulerSeed) => {
      const driver = new SchedulerDriver(this.createScheduler(createSeededRandom(schedulerSeed)));
      const run = startRun(driver);
      for (const action of actions) {
        action(run);
        assert.deepEqual(driver.faults, []);
      }
      const starved = drainWaiting(run);
      assert.deepEqual(driver.faults, []);
      if (this.mustDrain) assert.deepEqual(starved, [], 'units were never placed or rejected');
    });
    const result = fc.check(property, { numRuns, seed });
    this.isFailed = result.failed;
    this.report = `${result.counterexamplePath}: ${fc.stringify(result.counterexample)}\n${
      (result.errorInstance as Error | undefined)?.stack
    }`;
  },
);

Then('the placement checker finds no fault', function checkNone(this: PropertyWorld) {
  assert.ok(!this.isFailed, this.report);
});

Then(
  'the placement checker finds {string}',
  function checkFault(this: PropertyWorld, text: string) {
    assert.ok(this.isFailed, 'no fault was found');
    assert.match(this.report, new RegExp(text));
  },
);
