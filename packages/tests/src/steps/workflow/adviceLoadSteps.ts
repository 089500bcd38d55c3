import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import {
  DEFAULT_WORKFLOW_FEATURES,
  type WorkflowFeature,
} from '@lagoongap/workflow/workflowFeatures.js';

import { SeededRandom } from '../../consensus/seededRandom.js';
import { AdviceLoad, type LoadClass } from '../../workflow/adviceLoad.js';
import { SimulatedAdvisor } from '../../workflow/simulatedAdvisor.js';
import { WorkflowWorld } from '../../workflow/workflowWorld.js';

interface LoadSteps {
  world: WorkflowWorld;
  results: { withScheduling: Measured; without: Measured };
}

interface Measured {
  /** Time of all calls to the advisor in milliseconds. */
  callMs: number;
  starts: number;
}

const validMs = 2500;

/** Urgent and long work of deployment K, in steps per second. */
const URGENT_CLASS: LoadClass = {
  name: 'urgent',
  priority: 0,
  advice: { decideMs: 31, perEndpointMs: 0.44, validMs },
  suitableShare: 0.7,
  jobsPerSecond: 28.8,
  taskCount: 10,
  cores: 8.9,
  durationMs: 1000,
  stretch: 1.5,
  targetMs: 255,
};

const LONG_CLASS: LoadClass = {
  name: 'long',
  priority: 2,
  advice: { decideMs: 390, perEndpointMs: 5.6, validMs },
  suitableShare: 0.33,
  jobsPerSecond: 5.74,
  taskCount: 14,
  cores: 18,
  durationMs: 6000,
  stretch: 2.2,
  targetMs: 1209,
};

const SCALE = 0.25;
const INSTANCES = 10;
const ENDPOINTS = 61;
const MEAN_CORES = 64;

/** Weights of the organisations; a few are large. */
const WEIGHTS = [6, 5, 4, 3, 2, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1];

const SEED = 3;

/** Time that the simulated instance adds to a call for its deadline. */
const TRANSIT_MS = 250;

/** Upper bound of the real time of a load on a busy machine. */
const STEP_TIMEOUT_MS = 120_000;

/** Submits a load to a leader of its own, in which every organisation is limited to its share. */
async function measure(
  load: number,
  seconds: number,
  burst: number,
  isScheduled: boolean,
): Promise<Measured> {
  const features = new Set<WorkflowFeature>(DEFAULT_WORKFLOW_FEATURES);
  if (!isScheduled) features.delete('advice-scheduling');
  await using world = new WorkflowWorld({}, {}, features);
  const advisor = new SimulatedAdvisor(LONG_CLASS.advice);
  advisor.serve(world.session.broker, INSTANCES);
  const sum = WEIGHTS.reduce((total, weight) => total + weight, 0);
  const keys = WEIGHTS.flatMap((weight, i) => {
    const cores = (ENDPOINTS * MEAN_CORES * weight) / sum;
    world.addOrganisation(`o${i}`, `key${i}`, cores);
    return Array.from({ length: weight }, () => `key${i}`);
  });
  const random = new SeededRandom(SEED);
  for (let i = 0; i < ENDPOINTS; i += 1) {
    await world.addWorkers(1, Math.round(MEAN_CORES * 2 ** random.between(-1, 1)));
  }
  const classes = [{ ...URGENT_CLASS, burst }, LONG_CLASS].map((it) => ({
    ...it,
    jobsPerSecond: it.jobsPerSecond * SCALE * load,
  }));
  await new AdviceLoad(world, advisor, classes, SEED).run(seconds, keys);
  const callMs = advisor.sent.reduce((total, { timeoutMs }) => total + timeoutMs - TRANSIT_MS, 0);
  return { callMs, starts: world.driver.started.length };
}

When(
  '{float} times the load of a quarter of deployment K is submitted for {int} s in bursts of {int}, with and without advice scheduling',
  { timeout: STEP_TIMEOUT_MS },
  async function submit(this: LoadSteps, load: number, seconds: number, burst: number) {
    // Each leader has a fake clock of its own.
    await this.world[Symbol.asyncDispose]();
    this.results = {
      withScheduling: await measure(load, seconds, burst, true),
      without: await measure(load, seconds, burst, false),
    };
    this.world = new WorkflowWorld();
  },
);

Then(
  'advice scheduling takes at most {int} % of the former call time',
  function check(this: LoadSteps, maxPercent: number) {
    const { withScheduling, without } = this.results;
    const percent = (100 * withScheduling.callMs) / without.callMs;
    assert.ok(percent <= maxPercent, `${percent} %`);
  },
);

Then(
  'advice scheduling starts at least {int} % of the former runs',
  function check(this: LoadSteps, minPercent: number) {
    const { withScheduling, without } = this.results;
    const percent = (100 * withScheduling.starts) / without.starts;
    assert.ok(percent >= minPercent, `${percent} %`);
  },
);
