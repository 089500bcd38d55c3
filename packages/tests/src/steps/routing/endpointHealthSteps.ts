import assert from 'node:assert/strict';

import { After, Before, Given, Then, When } from '@cucumber/cucumber';
import { EjectingHealthPolicy } from '@lagoongap/routing/ejectingHealthPolicy.js';
import { FailureAttribution } from '@lagoongap/routing/failureAttribution.js';
import type { AttemptRef, HealthPolicy } from '@lagoongap/routing/healthPolicy.js';
import { NoHealthPolicy } from '@lagoongap/routing/noHealthPolicy.js';
import { PenalizingHealthPolicy } from '@lagoongap/routing/penalizingHealthPolicy.js';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';
import FakeTimers from '@sinonjs/fake-timers';

interface HealthWorld {
  healthClock: ReturnType<typeof FakeTimers.install> | undefined;
  policy: HealthPolicy;
  reportedChanges: string[];
  attempts: number;
  trial: AttemptRef;
  attribution: FailureAttribution;
}

/** Faked timers: those that the code under test uses. The test runner needs the real others. */
const CLOCK_FUNCTIONS = ['setTimeout', 'clearTimeout', 'performance'] as const;

/** Longest probation in seconds. */
const MAX_PROBATION_S = 600;

const ENDPOINT_COUNT = 20;

let world: HealthWorld;

Before(() => {
  world = {} as HealthWorld;
});

After(() => world.healthClock?.uninstall());

function createPolicy(name: string): HealthPolicy {
  if (name === 'ejecting') return new EjectingHealthPolicy({ random: createSeededRandom(7) });
  return name === 'penalizing' ? new PenalizingHealthPolicy() : new NoHealthPolicy();
}

function createAttempt(unitId: string, endpoint: number): AttemptRef {
  world.attempts += 1;
  return { attemptId: `${world.attempts}`, unitId, endpointId: `endpoint-${endpoint}` };
}

function fail(unitId: string, endpoint: number): void {
  const attempt = createAttempt(unitId, endpoint);
  world.policy.recordStart(attempt);
  world.policy.recordFailure(attempt);
}

function failDifferent(endpoint: number, jobs: number): void {
  for (let i = 0; i < jobs; i++) fail(`job-${endpoint}-${world.attempts}`, endpoint);
}

function count(test: (endpointId: string) => boolean): number {
  return Array.from({ length: ENDPOINT_COUNT }, (_, i) => `endpoint-${i + 1}`).filter(test).length;
}

/** Returns the remaining probation in seconds, to a tenth. */
function measureProbation(endpointId: string): number {
  const startMs = performance.now();
  while (world.policy.isEjected(endpointId)) {
    world.healthClock!.tick(100);
    assert.ok(performance.now() - startMs <= MAX_PROBATION_S * 1000 + 100);
  }
  return (performance.now() - startMs) / 1000;
}

Given('{int} endpoints under the {string} health policy', (endpoints: number, name: string) => {
  world.healthClock = FakeTimers.install({ toFake: [...CLOCK_FUNCTIONS] });
  world.attempts = 0;
  world.reportedChanges = [];
  world.policy = createPolicy(name);
  for (let i = 1; i <= endpoints; i++) world.policy.setEndpoint(`endpoint-${i}`, ['echo']);
  world.policy.onChange(({ endpointId, ejected }) =>
    world.reportedChanges.push(`${endpointId} ${ejected ? 'ejected' : 'in use'}`),
  );
});

When('jobs {string} fail on endpoint {int}', (jobs: string, endpoint: number) => {
  for (const job of jobs.split(',')) fail(job, endpoint);
});

When(
  'jobs {string} fail on endpoint {int} after {int} ms each',
  (jobs: string, endpoint: number, ms: number) => {
    for (const job of jobs.split(',')) {
      const attempt = createAttempt(job, endpoint);
      world.policy.recordStart(attempt);
      world.healthClock!.tick(ms);
      world.policy.recordFailure(attempt);
    }
  },
);

When(
  'job {string} runs on endpoint {int} for {int} ms and succeeds',
  (job: string, endpoint: number, ms: number) => {
    const attempt = createAttempt(job, endpoint);
    world.policy.recordStart(attempt);
    world.healthClock!.tick(ms);
    world.policy.recordSuccess(attempt);
  },
);

When('{int} different jobs fail on endpoint {int}', (jobs: number, endpoint: number) =>
  failDifferent(endpoint, jobs),
);

When('jobs {string} succeed on endpoint {int}', (jobs: string, endpoint: number) => {
  for (const job of jobs.split(',')) {
    world.policy.recordSuccess(createAttempt(job, endpoint));
  }
});

When('different jobs fail on endpoints {int} to {int}', (first: number, last: number) => {
  for (let i = first; i <= last; i++) failDifferent(i, 3);
});

When('endpoints {int} to {int} are ejected at the same time', (first: number, last: number) => {
  for (let i = first; i <= last; i++) failDifferent(i, 3);
  assert.equal(
    count((id) => world.policy.isEjected(id)),
    last - first + 1,
  );
});

When('endpoints {int} to {int} are removed', (first: number, last: number) => {
  for (let i = first; i <= last; i++) world.policy.removeEndpoint(`endpoint-${i}`);
});

When('endpoint {int} is ejected {int} times in a row', (endpoint: number, times: number) => {
  failDifferent(endpoint, 3);
  for (let i = 1; i < times; i++) {
    measureProbation(`endpoint-${endpoint}`);
    failDifferent(endpoint, 1);
  }
});

When(/^(\d+) seconds of (?:probation|penalty) pass$/, (seconds: string) =>
  world.healthClock!.tick(Number(seconds) * 1000),
);

When('a trial starts on endpoint {int}', (endpoint: number) => {
  world.trial = createAttempt('trial', endpoint);
  world.policy.recordStart(world.trial);
});

When('a trial of endpoint {int} is requested', (endpoint: number) =>
  world.policy.requestTrial(`endpoint-${endpoint}`),
);

When('the trial succeeds', () => world.policy.recordSuccess(world.trial));

When('the trial fails', () => world.policy.recordFailure(world.trial));

When('the trial is abandoned', () => world.policy.recordAbandoned(world.trial));

When('{int} different jobs fail', (jobs: number) => {
  world.healthClock = FakeTimers.install({ toFake: [...CLOCK_FUNCTIONS] });
  world.attribution = new FailureAttribution();
  for (let i = 0; i < jobs; i++) world.attribution.recordFailure(`job-${i}`, 'e', () => false);
});

When('{int} seconds pass for the tracked jobs', (seconds: number) => {
  world.healthClock!.tick(seconds * 1000 + 1);
  world.attribution.recordFailure('last', 'e', () => false);
});

Then(/^endpoint (\d+) is (in use|ejected|penalized)$/, (endpoint: string, expected: string) => {
  const id = `endpoint-${endpoint}`;
  const penalty = world.policy.isPenalized(id) ? 'penalized' : 'in use';
  assert.equal(world.policy.isEjected(id) ? 'ejected' : penalty, expected);
});

Then('the health listener received {string}', (expected: string) =>
  assert.equal(world.reportedChanges.join(', '), expected),
);

Then(
  'the probation of endpoint {int} lasts between {int} and {int} seconds',
  (endpoint: number, least: number, most: number) => {
    const lasted = measureProbation(`endpoint-${endpoint}`);
    assert.ok(lasted >= least && lasted <= most + 0.1, `${lasted} s`);
  },
);

Then('their probations end at different times', () => {
  const ends: number[] = [];
  world.policy.onChange(() => ends.push(performance.now()));
  world.healthClock!.tick(10_000);
  assert.equal(new Set(ends).size, 6);
});

Then('{int} endpoints are ejected', (expected: number) => {
  assert.equal(
    count((id) => world.policy.isEjected(id)),
    expected,
  );
});

Then('{int} endpoints are penalized', (expected: number) => {
  assert.equal(
    count((id) => world.policy.isPenalized(id)),
    expected,
  );
});

Then('no more than {int} of them are tracked', (most: number) =>
  assert.ok(world.attribution.size <= most && world.attribution.size > 0),
);
