import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { AdviceAdmission } from '@lagoongap/workflow/adviceAdmission.js';
import { AdviceBroker, type AdviceQuery } from '@lagoongap/workflow/adviceBroker.js';
import { AdviceQueue, type QueuedQuery } from '@lagoongap/workflow/adviceQueue.js';
import {
  DEFAULT_WORKFLOW_FEATURES,
  type WorkflowFeature,
} from '@lagoongap/workflow/workflowFeatures.js';

import { SimulatedAdvisor } from '../../workflow/simulatedAdvisor.js';
import { createStep, WorkflowWorld } from '../../workflow/workflowWorld.js';

interface SchedulingSteps {
  world: WorkflowWorld;
  advisor: SimulatedAdvisor;
  /** Monotonic times of the starts of a job, by job. */
  startsMs: Map<string, number[]>;
  /** Query that an instance got. */
  query: AdviceQuery | undefined;
  broker: AdviceBroker;
  /** Waiting times of the urgent queries by the monotonic time of their request. */
  urgentWaits: { queuedMs: number; waitMs: number }[];
  lastLateMs: number;
  beganMs: number;
  instances: number;
}

const TICKET_VALID_MS = 2500;

/** Instance whose polls the scenario makes one by one. */
const INSTANCE = 'polling';

/** Step that queries for as long as a scenario takes. */
const LONG_PREFIX = 'long';

/** Returns the names of the first step of a job, as queries and orders have them. */
const firstStepOf = (job: string): string => `${job}.0.0`;

/** Submits a job to a queue without an advisor. */
async function startWithoutAdvisor(
  world: WorkflowWorld,
  taskCount: number,
  cores: number,
): Promise<void> {
  world.addQueue('plain', { advice: undefined });
  world.driver.durationsMs.set('other', 60_000);
  await world.submit('other', [createStep({ taskCount, cores })], {}, 'plain');
}

When(
  'a job {string} of {int} tasks of {int} ms is submitted',
  async function submit(this: SchedulingSteps, id: string, taskCount: number, ms: number) {
    const { driver } = this.world;
    driver.durationsMs.set(id, ms);
    this.startsMs ??= new Map();
    driver.onStarted = (_, { payload }) => {
      this.startsMs.set(payload, [...(this.startsMs.get(payload) ?? []), performance.now()]);
    };
    await this.world.submit(id, [createStep({ taskCount, estimateMs: ms })]);
  },
);

Then('no query was sent for job {string}', function check(this: SchedulingSteps, id: string) {
  assert.deepEqual(
    this.advisor.sent.filter(({ step }) => step === firstStepOf(id)),
    [],
  );
});

Then(
  'a query for job {string} was sent within {int} ms of the first end of job {string}',
  function check(this: SchedulingSteps, id: string, maxMs: number, ended: string) {
    const sent = this.advisor.sent.find(({ step }) => step === firstStepOf(id));
    const durationMs = this.world.driver.durationsMs.get(ended)!;
    const firstEndMs = this.startsMs.get(ended)![0]! + durationMs;
    const waitMs = sent!.atMs - firstEndMs;
    assert.ok(waitMs >= 0 && waitMs <= maxMs, `${waitMs} ms`);
  },
);

Then('job {string} has {int} runs', function check(this: SchedulingSteps, id, count: number) {
  const runs = this.world.driver.started.filter((name) => name.startsWith(`${id}.`));
  assert.equal(runs.length, count);
});

Then('no query named more than {int} endpoints', function check(this: SchedulingSteps, max) {
  const largest = Math.max(...this.advisor.sent.map(({ endpoints }) => endpoints.length));
  assert.ok(largest > 0 && largest <= max, `${largest} endpoints`);
});

Given(
  'an advisor that takes {int} ms and {float} ms per endpoint, queried by {int} instances, without advice scheduling',
  async function addAdvisor(
    this: SchedulingSteps,
    decideMs: number,
    perEndpointMs: number,
    instances: number,
  ) {
    await this.world[Symbol.asyncDispose]();
    const advice = { decideMs, perEndpointMs, validMs: TICKET_VALID_MS };
    const features = new Set<WorkflowFeature>(DEFAULT_WORKFLOW_FEATURES);
    features.delete('advice-scheduling');
    this.world = new WorkflowWorld({ advice }, {}, features);
    this.advisor = new SimulatedAdvisor(advice);
    this.advisor.serve(this.world.session.broker, instances);
  },
);

When(
  'an instance polls for a query for {int} ms',
  async function poll(this: SchedulingSteps, waitMs: number) {
    this.query = undefined;
    const polled = this.world.session.broker.exchange(INSTANCE, [], waitMs);
    polled
      .then((query) => {
        this.query = query;
      })
      .catch(() => undefined);
    await this.world.advance(waitMs + 2);
  },
);

Then('the instance gets no query', function check(this: SchedulingSteps) {
  assert.equal(this.query, undefined);
});

/** Returns whether the query names all endpoints on which nothing runs. */
function namesFreeEndpoints({ world, query }: SchedulingSteps): boolean {
  const free = [...world.driver.workers].filter(([, { runs }]) => runs.size === 0);
  return free.every(([id]) => query!.endpoints.includes(id));
}

Then(
  'the instance gets a query about all endpoints with room',
  function check(this: SchedulingSteps) {
    assert.ok(namesFreeEndpoints(this));
  },
);

Then(
  'the instance gets a query that misses endpoints with room',
  function check(this: SchedulingSteps) {
    assert.ok(!namesFreeEndpoints(this));
  },
);

When(
  '{int} tasks of {int} cores start without the advisor',
  async function start(this: SchedulingSteps, taskCount: number, cores: number) {
    await startWithoutAdvisor(this.world, taskCount, cores);
    await this.world.advance(50);
    const started = this.world.driver.started.filter((name) => name.startsWith('other.'));
    assert.equal(started.length, taskCount);
  },
);

When(
  'all capacity is taken by other tasks while the query is in flight',
  async function take(this: SchedulingSteps) {
    assert.equal(this.advisor.sent.length, 1);
    await startWithoutAdvisor(this.world, this.world.records.size, 4);
    await this.world.advance(50);
    assert.equal(this.advisor.sent.length, 1);
    await this.world.advance(200);
    assert.equal(this.world.driver.started.filter((name) => name.startsWith('a.')).length, 0);
  },
);

Given(
  'the target of the queue is {int} times the duration and {int} ms',
  function setTarget(this: SchedulingSteps, stretch: number, targetMs: number) {
    Object.assign(this.world.session.readConfig()!.queues[0]!, { stretch, targetMs });
  },
);

Then(
  'queries are sent for jobs {string} in this order',
  async function check(this: SchedulingSteps, jobs: string) {
    this.advisor.serve(this.world.session.broker, 1);
    await this.world.advance(1000);
    const steps = this.advisor.sent.map(({ step }) => step);
    assert.deepEqual([...new Set(steps)], jobs.split(', ').map(firstStepOf));
  },
);

Given('instance {string} fails with its next query', function fail(this: SchedulingSteps, id) {
  this.advisor.failed.add(id);
});

When(
  '{int} late queries wait while others of {int} ms with little slack arrive faster than they are sent',
  async function load(this: SchedulingSteps, late: number, callMs: number) {
    const queue = new AdviceQueue<QueuedQuery & { isLate: boolean }>();
    const startMs = performance.now();
    const add = (isLate: boolean): void => {
      const latestStartMs = performance.now() + (isLate ? -1000 : 200);
      const urgency = { latestStartMs, latestUsefulStartMs: latestStartMs + 60_000 };
      queue.add({ priority: 0, callMs, urgency, isLate });
    };
    for (let i = 0; i < late; i += 1) add(true);
    let waiting = late;
    while (waiting > 0 && performance.now() - startMs < 60_000) {
      add(false);
      add(false);
      if (queue.take()?.isLate) waiting -= 1;
      await this.world.clock.tickAsync(callMs);
    }
    this.lastLateMs = performance.now() - startMs;
  },
);

Then('all late queries were sent within {int} ms', function check(this: SchedulingSteps, maxMs) {
  assert.ok(this.lastLateMs <= maxMs, `${this.lastLateMs} ms`);
});

When(
  '{int} long queries of {int} ms are kept waiting for {int} instances',
  async function load(this: SchedulingSteps, count: number, ms: number, instances: number) {
    const policy = { decideMs: ms, perEndpointMs: 0, validMs: TICKET_VALID_MS };
    this.broker = new AdviceBroker(1, new AdviceAdmission());
    this.advisor = new SimulatedAdvisor(policy);
    this.advisor.serve(this.broker, instances);
    this.instances = instances;
    this.beganMs = performance.now();
    const request = (step: string): void => {
      this.broker
        .query({ step, priority: 2, callMs: ms, policy, assemble: () => ['w1'] })
        .then(() => request(step))
        .catch(() => undefined);
    };
    for (let i = 0; i < count; i += 1) request(`${LONG_PREFIX}${i}`);
    await this.world.advance(2);
  },
);

When(
  'bursts of {int} urgent queries of {int} ms arrive every {int} ms for {int} ms',
  async function load(
    this: SchedulingSteps,
    count: number,
    ms: number,
    pauseMs: number,
    totalMs: number,
  ) {
    const policy = { decideMs: ms, perEndpointMs: 0, validMs: TICKET_VALID_MS };
    this.advisor.policies.set('urgent', policy);
    this.urgentWaits = [];
    for (let passedMs = 0; passedMs < totalMs; passedMs += pauseMs) {
      for (let i = 0; i < count; i += 1) {
        const queuedMs = performance.now();
        const assemble = (): string[] => {
          this.urgentWaits.push({ queuedMs, waitMs: performance.now() - queuedMs });
          return ['w1'];
        };
        const step = `urgent${passedMs}.${i}`;
        this.broker
          .query({ step, priority: 0, callMs: ms, policy, assemble })
          .catch(() => undefined);
      }
      await this.world.advance(pauseMs);
    }
  },
);

Then(
  '{int} % of the urgent queries after the first {int} ms were sent within {int} ms',
  function check(this: SchedulingSteps, percent: number, firstMs: number, maxMs: number) {
    const waits = this.urgentWaits.filter(({ queuedMs }) => queuedMs >= this.beganMs + firstMs);
    const sorted = waits.map(({ waitMs }) => waitMs).sort((a, b) => a - b);
    const found = sorted[Math.floor((sorted.length * percent) / 100)]!;
    assert.ok(found <= maxMs, `${found} ms`);
  },
);

Then(
  'long calls got at least {int} % of the time of the instances',
  function check(this: SchedulingSteps, minPercent: number) {
    const endMs = performance.now();
    let callMs = 0;
    for (const { step, atMs, timeoutMs } of this.advisor.sent) {
      // Calls of one instance follow each other, so that only the last ones are cut off.
      const lengthMs = Math.min(timeoutMs, endMs - atMs);
      if (step.startsWith(LONG_PREFIX)) callMs += Math.min(lengthMs, 700);
    }
    const percent = (100 * callMs) / ((endMs - this.beganMs) * this.instances);
    assert.ok(percent >= minPercent, `${percent} %`);
  },
);

When(
  '{int} queries wait of which the last one only is needed',
  async function load(this: SchedulingSteps, count: number) {
    const policy = { decideMs: 100, perEndpointMs: 1, validMs: TICKET_VALID_MS };
    this.broker = new AdviceBroker(1, new AdviceAdmission());
    for (let i = 1; i <= count; i += 1) {
      const assemble = (): string[] => (i === count ? ['w1'] : []);
      this.broker
        .query({ step: `s${i}`, priority: 0, callMs: 100, policy, assemble })
        .catch(() => undefined);
    }
    await this.world.advance(2);
  },
);

When('an instance polls the broker', async function poll(this: SchedulingSteps) {
  this.broker
    .exchange(INSTANCE, [], 1000)
    .then((query) => {
      this.query = query;
    })
    .catch(() => undefined);
  await this.world.advance(20);
});

Then('the instance gets the last query at once', function check(this: SchedulingSteps) {
  assert.equal(this.query?.step, 's118');
});
