import assert from 'node:assert/strict';

import { After, Before, Given, Then, When } from '@cucumber/cucumber';
import { Backoff } from '@lagoongap/routing/backoff.js';
import { computeInstanceLimit, ConcurrencyLimiter } from '@lagoongap/routing/concurrencyLimiter.js';
import { Deadline } from '@lagoongap/routing/deadline.js';
import type { LimiterError } from '@lagoongap/routing/limiterError.js';
import { RetryBudget } from '@lagoongap/routing/retryBudget.js';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';
import FakeTimers from '@sinonjs/fake-timers';

interface Caller {
  abort: AbortController;
  release?: () => void;
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

/** Faked timers: those that the code under test uses. The test runner needs the real others. */
const CLOCK_FUNCTIONS = ['setTimeout', 'clearTimeout', 'performance'] as const;

const MAX_WAIT_MS = 1000;

let world: AdmissionWorld;

Before(() => {
  world = {} as AdmissionWorld;
});

After(() => world.admissionClock?.uninstall());

function drawDelays(): number[][] {
  return Array.from({ length: 1000 }, (_, seed) => {
    const backoff = new Backoff({ baseMs: 50, maxMs: 2000, random: createSeededRandom(seed) });
    return Array.from({ length: 9 }, () => backoff.nextDelayMs());
  });
}

function listNumbers(callers: Caller[], test: (caller: Caller) => boolean): string {
  return callers.flatMap((caller, i) => (test(caller) ? [i + 1] : [])).join(',');
}

Given('a retry budget', () => {
  world.admissionClock = FakeTimers.install({ toFake: [...CLOCK_FUNCTIONS] });
  world.budget = new RetryBudget();
});

When('{int} new requests arrive within a second', (requests: number) => {
  for (let i = 0; i < requests; i++) world.budget.recordRequest();
});

When('{int} seconds pass for the retry budget', (seconds: number) =>
  world.admissionClock!.tick(seconds * 1000),
);

Then('{int} retries are granted', (expected: number) => {
  let granted = 0;
  while (granted <= expected && world.budget.tryAcquire()) granted += 1;
  assert.equal(granted, expected);
});

Given('1000 seeded backoffs from 50 to 2000 milliseconds', () => {
  world.delays = drawDelays();
});

Then(
  'their delays number {int} spread over {int} to {int} milliseconds',
  (number: number, least: number, most: number) => {
    const delays = world.delays.map((list) => list[number - 1]!);
    assert.ok(delays.every((delayMs) => delayMs >= least && delayMs <= most));
    for (let tenth = 0; tenth < 10; tenth++) {
      const from = (most * tenth) / 10;
      const share = delays.filter((ms) => ms >= from && ms < from + most / 10).length / 1000;
      assert.ok(share > 0.06 && share < 0.14, `${share} from ${from} ms`);
    }
  },
);

Then('the same seed gives the same delays', () => assert.deepEqual(drawDelays(), world.delays));

Given('a deadline after {int} milliseconds', (ms) => {
  world.admissionClock = FakeTimers.install({ toFake: [...CLOCK_FUNCTIONS] });
  world.deadline = new Deadline(ms);
  world.passedCount = 0;
  world.deadline.onPassed(() => {
    world.passedCount += 1;
  });
});

When(/^(\d+) milliseconds pass for the (?:deadline|limiter)$/, async (ms: string) =>
  world.admissionClock!.tickAsync(Number(ms)),
);

Then('the deadline has not passed', () => {
  assert.deepEqual([world.deadline.hasPassed(), world.passedCount], [false, 0]);
  assert.equal(world.deadline.remainingMs(), 1);
});

Then('the deadline has passed', () => {
  world.admissionClock!.tick(10_000);
  assert.deepEqual([world.deadline.hasPassed(), world.passedCount], [true, 1]);
  assert.equal(world.deadline.remainingMs(), 0);
});

Given('a limiter for {int} in flight and {int} waiting', (limit: number, maxWaiting: number) => {
  world.admissionClock = FakeTimers.install({ toFake: [...CLOCK_FUNCTIONS] });
  world.limiter = new ConcurrencyLimiter({ limit, maxWaiting });
  world.callers = [];
});

When('{int} callers ask for admission', async (number: number) => {
  for (let i = 0; i < number; i++) {
    const caller: Caller = { abort: new AbortController() };
    world.callers.push(caller);
    world.limiter.acquire({ maxWaitMs: MAX_WAIT_MS, signal: caller.abort.signal }).then(
      (leave) => {
        caller.release = leave;
      },
      (err: LimiterError) => {
        caller.failure = err.failure;
      },
    );
  }
  await world.admissionClock!.tickAsync(0);
});

When('caller {int} releases its admission twice', async (number: number) => {
  world.callers[number - 1]!.release!();
  world.callers[number - 1]!.release!();
  await world.admissionClock!.tickAsync(0);
});

When('caller {int} aborts', async (number: number) => {
  world.callers[number - 1]!.abort.abort();
  await world.admissionClock!.tickAsync(0);
});

When('the limiter is disposed', async () => {
  world.limiter[Symbol.dispose]();
  await world.admissionClock!.tickAsync(0);
});

When('the limit is raised to {int}', async (limit: number) => {
  world.limiter.setBounds({ limit, maxWaiting: 5 });
  await world.admissionClock!.tickAsync(0);
});

Then(
  'callers {string} are admitted and callers {string} are refused as {string}',
  (admitted: string, refused: string, failure: string) => {
    assert.equal(
      listNumbers(world.callers, (caller) => caller.release !== undefined),
      admitted,
    );
    assert.equal(
      listNumbers(world.callers, (caller) => caller.failure === failure),
      refused,
    );
  },
);

Then('callers {string} are refused as {string}', (refused: string, failure: string) => {
  assert.equal(
    listNumbers(world.callers, (caller) => caller.failure === failure),
    refused,
  );
});

Then(
  'an instance of {int} cores and {int} MiB has a limit of {int}',
  (cores: number, memoryMib: number, limit: number) =>
    assert.equal(computeInstanceLimit({ cores, memoryMib }), limit),
);
