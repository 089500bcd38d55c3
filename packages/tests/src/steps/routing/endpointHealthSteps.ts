import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { EjectingHealthPolicy } from '@lagoongap/routing/ejectingHealthPolicy.js';
import { FailureAttribution } from '@lagoongap/routing/failureAttribution.js';
import type { AttemptRef, HealthPolicy } from '@lagoongap/routing/healthPolicy.js';
import { NoHealthPolicy } from '@lagoongap/routing/noHealthPolicy.js';
import { PenalizingHealthPolicy } from '@lagoongap/routing/penalizingHealthPolicy.js';
import { createSeededRandom } from '@lagoongap/routing/seededRandom.js';
import FakeTimers from '@sinonjs/fake-timers';

interface HealthWorld {
  healthClock: ReturnType<typeof FakeTimers.install> | undefined;
  policy: HealthPolicy;
  told: string[];
  attempts: number;
  trial: AttemptRef;
  attribution: FailureAttribution;
}

/** What the code under test uses; the test runner keeps the rest. */
const CLOCK_FUNCTIONS = ['setTimeout', 'clearTimeout', 'performance'] as const;

/** Longest probation in seconds. */
const MAX_PROBATION_S = 600;

const ENDPOINT_COUNT = 20;

After(function uninstallHealthClock(this: HealthWorld) {
  this.healthClock?.uninstall();
});

function createPolicy(name: string): HealthPolicy {
  if (name === 'ejecting') return new EjectingHealthPolicy({ random: createSeededRandom(7) });
  return name === 'penalizing' ? new PenalizingHealthPolicy() : new NoHealthPolicy();
}

function createAttempt(world: HealthWorld, unitId: string, endpoint: number): AttemptRef {
  world.attempts += 1;
  return { attemptId: `${world.attempts}`, unitId, endpointId: `endpoint-${endpoint}` };
}

function fail(world: HealthWorld, unitId: string, endpoint: number): void {
  const attempt = createAttempt(world, unitId, endpoint);
  world.policy.recordStart(attempt);
  world.policy.recordFailure(attempt);
}

function failDifferent(world: HealthWorld, endpoint: number, jobs: number): void {
  for (let i = 0; i < jobs; i++) fail(world, `job-${endpoint}-${world.attempts}`, endpoint);
}

function count(test: (endpointId: string) => boolean): number {
  return Array.from({ length: ENDPOINT_COUNT }, (_, i) => `endpoint-${i + 1}`).filter(test).length;
}

/** Returns the rest of the probation in seconds, to a tenth. */
function measureProbation(world: HealthWorld, endpointId: string): number {
  const startMs = performance.now();
  while (world.policy.isEjected(endpointId)) {
    world.healthClock!.tick(100);
    assert.ok(performance.now() - startMs <= MAX_PROBATION_S * 1000 + 100);
  }
  return (performance.now() - startMs) / 1000;
}

Given(
  '{int} endpoints under the {string} health policy',
  function createEndpoints(this: HealthWorld, endpoints: number, name: string) {
    this.healthClock = FakeTimers.install({ toFake: [...CLOCK_FUNCTIONS] });
    this.attempts = 0;
    this.told = [];
    this.policy = createPolicy(name);
    for (let i = 1; i <= endpoints; i++) this.policy.setEndpoint(`endpoint-${i}`, ['echo']);
    this.policy.onChange(({ endpointId, ejected }) => {
      this.told.push(`${endpointId} ${ejected ? 'ejected' : 'in use'}`);
    });
  },
);

When(
  'jobs {string} fail on endpoint {int}',
  function failJobs(this: HealthWorld, jobs: string, endpoint: number) {
    for (const job of jobs.split(',')) fail(this, job, endpoint);
  },
);

When(
  '{int} different jobs fail on endpoint {int}',
  function failCount(this: HealthWorld, jobs: number, endpoint: number) {
    failDifferent(this, endpoint, jobs);
  },
);

When(
  'jobs {string} succeed on endpoint {int}',
  function succeedJobs(this: HealthWorld, jobs: string, endpoint: number) {
    for (const job of jobs.split(',')) {
      this.policy.recordSuccess(createAttempt(this, job, endpoint));
    }
  },
);

When(
  'different jobs fail on endpoints {int} to {int}',
  function failAll(this: HealthWorld, first: number, last: number) {
    for (let i = first; i <= last; i++) failDifferent(this, i, 3);
  },
);

When(
  'endpoints {int} to {int} are ejected at the same time',
  function ejectAll(this: HealthWorld, first: number, last: number) {
    for (let i = first; i <= last; i++) failDifferent(this, i, 3);
    assert.equal(
      count((id) => this.policy.isEjected(id)),
      last - first + 1,
    );
  },
);

When(
  'endpoints {int} to {int} are removed',
  function removeEndpoints(this: HealthWorld, first: number, last: number) {
    for (let i = first; i <= last; i++) this.policy.removeEndpoint(`endpoint-${i}`);
  },
);

When(
  'endpoint {int} is ejected {int} times in a row',
  function ejectRepeatedly(this: HealthWorld, endpoint: number, times: number) {
    failDifferent(this, endpoint, 3);
    for (let i = 1; i < times; i++) {
      measureProbation(this, `endpoint-${endpoint}`);
      failDifferent(this, endpoint, 1);
    }
  },
);

When(
  /^(\d+) seconds of (?:probation|penalty) pass$/,
  function passSeconds(this: HealthWorld, seconds: string) {
    this.healthClock!.tick(Number(seconds) * 1000);
  },
);

When('a trial starts on endpoint {int}', function startTrial(this: HealthWorld, endpoint: number) {
  this.trial = createAttempt(this, 'trial', endpoint);
  this.policy.recordStart(this.trial);
});

When('the trial succeeds', function succeedTrial(this: HealthWorld) {
  this.policy.recordSuccess(this.trial);
});

When('the trial fails', function failTrial(this: HealthWorld) {
  this.policy.recordFailure(this.trial);
});

When('the trial is abandoned', function abandonTrial(this: HealthWorld) {
  this.policy.recordAbandoned(this.trial);
});

When('{int} different jobs fail', function failMany(this: HealthWorld, jobs: number) {
  this.healthClock = FakeTimers.install({ toFake: [...CLOCK_FUNCTIONS] });
  this.attribution = new FailureAttribution();
  for (let i = 0; i < jobs; i++) this.attribution.recordFailure(`job-${i}`, 'e', () => false);
});

When(
  '{int} seconds pass for the remembered jobs',
  function passForJobs(this: HealthWorld, seconds: number) {
    this.healthClock!.tick(seconds * 1000 + 1);
    this.attribution.recordFailure('last', 'e', () => false);
  },
);

Then(
  /^endpoint (\d+) is (in use|ejected|penalized)$/,
  function checkState(this: HealthWorld, endpoint: string, expected: string) {
    const id = `endpoint-${endpoint}`;
    const penalty = this.policy.isPenalized(id) ? 'penalized' : 'in use';
    assert.equal(this.policy.isEjected(id) ? 'ejected' : penalty, expected);
  },
);

Then(
  'the health listener was told {string}',
  function checkTold(this: HealthWorld, expected: string) {
    assert.equal(this.told.join(', '), expected);
  },
);

Then(
  'the probation of endpoint {int} lasts between {int} and {int} seconds',
  function checkProbation(this: HealthWorld, endpoint: number, least: number, most: number) {
    const lasted = measureProbation(this, `endpoint-${endpoint}`);
    assert.ok(lasted >= least && lasted <= most + 0.1, `${lasted} s`);
  },
);

Then('their probations end at different times', function checkSpread(this: HealthWorld) {
  const ends: number[] = [];
  this.policy.onChange(() => ends.push(performance.now()));
  this.healthClock!.tick(10_000);
  assert.equal(new Set(ends).size, 6);
});

Then('{int} endpoints are ejected', function checkEjected(this: HealthWorld, expected: number) {
  assert.equal(
    count((id) => this.policy.isEjected(id)),
    expected,
  );
});

Then('{int} endpoints are penalized', function checkPenalized(this: HealthWorld, expected: number) {
  assert.equal(
    count((id) => this.policy.isPenalized(id)),
    expected,
  );
});

Then(
  'no more than {int} of them are remembered',
  function checkRemembered(this: HealthWorld, most: number) {
    assert.ok(this.attribution.size <= most && this.attribution.size > 0);
  },
);
