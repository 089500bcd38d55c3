import assert from 'node:assert/strict';

import { Given, Then, When, type IWorld } from '@cucumber/cucumber';

import {
  FLOODING_ORGANISATION,
  LoadModel,
  type LoadClass,
  type LoadScenario,
} from '../../workflow/loadModel.js';

interface LoadWorld extends IWorld {
  scenario: LoadScenario;
  learned: LoadModel[];
  former: LoadModel[];
}

const TIMEOUT = { timeout: 120_000 };

/** The means of three loads are compared, as one may be better by chance with either order. */
const SEEDS = [1, 2, 3];

/** Values that may differ by chance, as a different order changes everything after it. */
const CHANCE = 0.02;

const ESTIMATE_ERROR = 0.9;

/** Classes of work of the deployment with large endpoints, scaled to a fifth. */
const LARGE_CLASSES: LoadClass[] = [
  {
    ...{ queue: 'urgent', priority: 0, stretch: 1.5, targetMs: 255, jobsPerSecond: 3.6 },
    ...{ steps: 1.6, tasks: 10, workMs: 1000, cores: 8.9, suitable: 0.7 },
    estimateError: ESTIMATE_ERROR,
  },
  {
    ...{ queue: 'long', priority: 2, stretch: 2.2, targetMs: 1209, jobsPerSecond: 0.574 },
    ...{ steps: 2, tasks: 14, workMs: 6000, cores: 18, suitable: 0.33 },
    estimateError: ESTIMATE_ERROR,
  },
];

/** The same with small endpoints. */
const SMALL_CLASSES: LoadClass[] = [
  {
    ...{ queue: 'urgent', priority: 0, stretch: 1.5, targetMs: 300, jobsPerSecond: 5.36 },
    ...{ steps: 1.6, tasks: 10, workMs: 540, cores: 2.2, suitable: 0.7 },
    estimateError: 0.5,
  },
  {
    ...{ queue: 'long', priority: 2, stretch: 2.2, targetMs: 1200, jobsPerSecond: 0.51 },
    ...{ steps: 2, tasks: 21, workMs: 3200, cores: 4.5, suitable: 0.35 },
    estimateError: ESTIMATE_ERROR,
  },
];

Given(
  /^endpoints of (\d+) cores with load for a fifth of a deployment of (large|small) endpoints$/,
  function createScenario(this: LoadWorld, cores: string, size: string) {
    this.scenario = {
      endpoints: 49,
      cores: Number(cores),
      classes: size === 'large' ? LARGE_CLASSES : SMALL_CLASSES,
      services: 0.35,
      seconds: 45,
      burst: 1,
      flood: 1,
      seed: 0,
    };
  },
);

function runModels(scenario: LoadScenario, isLearned: boolean): LoadModel[] {
  return SEEDS.map((seed) => {
    const model = new LoadModel({ ...scenario, seed }, { isLearned });
    model.run();
    return model;
  });
}

function run(world: LoadWorld): void {
  world.learned = runModels(world.scenario, true);
  world.former = runModels(world.scenario, false);
}

/** Returns the mean value of the jobs of a queue, of all organisations or of some. */
function valueOf(
  models: LoadModel[],
  queue: string,
  organisations: (name: string) => boolean = () => true,
): number {
  const values = models.map((model) => model.resultOf(queue, organisations).value);
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

When(
  'arrivals rise to {int} times the usual for a third of the time',
  TIMEOUT,
  function burst(this: LoadWorld, factor: number) {
    this.scenario = { ...this.scenario, burst: factor };
    run(this);
  },
);

When(
  'one organisation sends {int} times its usual for a third of the time',
  TIMEOUT,
  function flood(this: LoadWorld, factor: number) {
    this.scenario = { ...this.scenario, burst: 3.5, services: 0.4, flood: factor };
    run(this);
  },
);

Then(
  'urgent jobs earn at least {float} more with learned durations than without',
  function checkGain(this: LoadWorld, gain: number) {
    const [learned, former] = [valueOf(this.learned, 'urgent'), valueOf(this.former, 'urgent')];
    this.log(`urgent jobs earn ${learned.toFixed(3)}, formerly ${former.toFixed(3)}`);
    assert.ok(learned >= former + gain, `${learned} and ${former}`);
  },
);

Then('long jobs earn no less', function checkLong(this: LoadWorld) {
  const [learned, former] = [valueOf(this.learned, 'long'), valueOf(this.former, 'long')];
  assert.ok(learned >= former - CHANCE, `${learned} and ${former}`);
});

function valueOfFlood(models: LoadModel[], isFlood: boolean): number {
  return valueOf(models, 'urgent', (name) => (name === FLOODING_ORGANISATION) === isFlood);
}

Then(
  'urgent jobs of the others earn at least {float} of their value',
  function checkOthers(this: LoadWorld, min: number) {
    const value = valueOfFlood(this.learned, false);
    assert.ok(value >= min, `${value}`);
  },
);

Then(
  'those of this organisation earn less than those of the others',
  function checkFlood(this: LoadWorld) {
    assert.ok(valueOfFlood(this.learned, true) < valueOfFlood(this.learned, false));
  },
);

Then(
  'those of this organisation earn no less than by the former ranks',
  function checkFormer(this: LoadWorld) {
    const [learned, former] = [this.learned, this.former].map((it) => valueOfFlood(it, true));
    assert.ok(learned! >= former! - CHANCE, `${learned} and ${former}`);
  },
);
