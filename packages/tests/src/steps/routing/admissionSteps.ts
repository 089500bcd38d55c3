import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { Backoff } from '@lagoongap/routing/backoff.js';
import { computeInstanceLimit, ConcurrencyLimiter } from '@lagoongap/routing/concurrencyLimiter.js';
import { Deadline } from '@lagoongap/routing/deadline.js';
import type { LimiterError } from '@lagoongap/routing/limiterError.js';
import { RetryBudget } from '@lagoongap/routing/retryBudget.js';
import { createSeededRandom } from '@lagoongap/routing/seededRandom.js';
import FakeTimers from '@sinonjs/fake-timers';

interface Caller {
  abort: AbortController;
  leave?: () => void;
  failure?: string;
}

interface AdmissionWorld {
  admissionClock: ReturnType<typeof FakeTimers.install> | undefined;
  budget: RetryBudget;
  delays: number[][];
  deadline: Deadline;
  passedCount: number;
  limiter: ConcurrencyLimiter;
  callers: Caller[];
}

/** What the code under test uses; the test runner keeps the rest. */
const CLOCK_FUNCTIONS = ['setTimeout', 'clearTimeout', 'performance'] as const;

const MAX_WAIT_MS = 1000;

After(function uninstallAdmissionClock(this: AdmissionWorld) {
  this.admissionClock?.uninstall();
});

function drawDelays(): number[][] {
  return Array.from({ length: 1000 }, (_, seed) => {
    const backoff = new Backoff({ baseMs: 50, maxMs: 2000, random: createSeededRandom(seed) });
    return Array.from({ length: 9 }, () => backoff.nextDelayMs());
  });
}

function listNumbers(callers: Caller[], test: (caller: Caller) => boolean): string {
  return callers.flatMap((caller, i) => (test(caller) ? [i + 1] : [])).join(',');
}

Given('a retry budget', function createBudget(this: AdmissionWorld) {
  this.admissionClock = FakeTimers.install({ toFake: [...CLOCK_FUNCTIONS] });
  this.budget = new RetryBudget();
});

When(
  '{int} fresh requests arrive within a second',
  function arrive(this: AdmissionWorld, requests: number) {
    for (let i = 0; i < requests; i++) this.budget.recordFresh();
  },
);

When(
  '{int} seconds pass for the retry budget',
  function passForBudget(this: AdmissionWorld, seconds: number) {
    this.admissionClock!.tick(seconds * 1000);
  },
);

Then('{int} retries are granted', function checkGranted(this: AdmissionWorld, expected: number) {
  let granted = 0;
  while (granted <= expected && this.budget.tryTake()) granted += 1;
  assert.equal(granted, expected);
});

Given(
  '1000 seeded backoffs from 50 to 2000 milliseconds',
  function createBackoffs(this: AdmissionWorld) {
    this.delays = drawDelays();
  },
);

Then(
  'their delays number {int} spread over {int} to {int} milliseconds',
  function checkDelays(this: AdmissionWorld, number: number, least: number, most: number) {
    const delays = this.delays.map((list) => list[number - 1]!);
    assert.ok(delays.every((delayMs) => delayMs >= least && delayMs <= most));
    for (let tenth = 0; tenth < 10; tenth++) {
      const from = (most * tenth) / 10;
      const share = delays.filter((ms) => ms >= from && ms < from + most / 10).length / 1000;
      assert.ok(share > 0.06 && share < 0.14, `${share} from ${from} ms`);
    }
  },
);

Then('the same seed gives the same delays', function checkSeed(this: AdmissionWorld) {
  assert.deepEqual(drawDelays(), this.delays);
});

Given('a deadline after {int} milliseconds', function createDeadline(this: AdmissionWorld, ms) {
  this.admissionClock = FakeTimers.install({ toFake: [...CLOCK_FUNCTIONS] });
  this.deadline = new Deadline(ms);
  this.passedCount = 0;
  this.deadline.onPassed(() => {
    this.passedCount += 1;
  });
});

When(
  /^(\d+) milliseconds pass for the (?:deadline|limiter)$/,
  async function passMs(this: AdmissionWorld, ms: string) {
    await this.admissionClock!.tickAsync(Number(ms));
  },
);

Then('the deadline has not passed', function checkNotPassed(this: AdmissionWorld) {
  assert.deepEqual([this.deadline.hasPassed(), this.passedCount], [false, 0]);
  assert.equal(this.deadline.remainingMs(), 1);
});

Then('the deadline has passed', function checkPassed(this: AdmissionWorld) {
  this.admissionClock!.tick(10_000);
  assert.deepEqual([this.deadline.hasPassed(), this.passedCount], [true, 1]);
  assert.equal(this.deadline.remainingMs(), 0);
});

Given(
  'a limiter for {int} in flight and {int} waiting',
  function createLimiter(this: AdmissionWorld, limit: number, maxWaiting: number) {
    this.admissionClock = FakeTimers.install({ toFake: [...CLOCK_FUNCTIONS] });
    this.limiter = new ConcurrencyLimiter({ limit, maxWaiting });
    this.callers = [];
  },
);

When('{int} callers ask for admission', async function ask(this: AdmissionWorld, number: number) {
  for (let i = 0; i < number; i++) {
    const caller: Caller = { abort: new AbortController() };
    this.callers.push(caller);
    this.limiter.acquire({ maxWaitMs: MAX_WAIT_MS, signal: caller.abort.signal }).then(
      (leave) => {
        caller.leave = leave;
      },
      (err: LimiterError) => {
        caller.failure = err.failure;
      },
    );
  }
  await this.admissionClock!.tickAsync(0);
});

When('caller {int} leaves twice', async function leaveTwice(this: AdmissionWorld, number: number) {
  this.callers[number - 1]!.leave!();
  this.callers[number - 1]!.leave!();
  await this.admissionClock!.tickAsync(0);
});

When('caller {int} goes away', async function goAway(this: AdmissionWorld, number: number) {
  this.callers[number - 1]!.abort.abort();
  await this.admissionClock!.tickAsync(0);
});

When('the limiter closes', async function closeLimiter(this: AdmissionWorld) {
  this.limiter[Symbol.dispose]();
  await this.admissionClock!.tickAsync(0);
});

When('the limit is raised to {int}', async function raise(this: AdmissionWorld, limit: number) {
  this.limiter.setBounds({ limit, maxWaiting: 5 });
  await this.admissionClock!.tickAsync(0);
});

Then(
  'callers {string} are admitted and callers {string} are refused as {string}',
  function checkCallers(this: AdmissionWorld, admitted: string, refused: string, failure: string) {
    assert.equal(
      listNumbers(this.callers, (caller) => caller.leave !== undefined),
      admitted,
    );
    assert.equal(
      listNumbers(this.callers, (caller) => caller.failure === failure),
      refused,
    );
  },
);

Then(
  'callers {string} are refused as {string}',
  function checkRefused(this: AdmissionWorld, refused: string, failure: string) {
    assert.equal(
      listNumbers(this.callers, (caller) => caller.failure === failure),
      refused,
    );
  },
);

Then(
  'an instance of {int} cores and {int} MiB has a limit of {int}',
  (cores: number, memoryMib: number, limit: number) => {
    assert.equal(computeInstanceLimit({ cores, memoryMib }), limit);
  },
);
