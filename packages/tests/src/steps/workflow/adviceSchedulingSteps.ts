import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import type { AdviceQuery } from '@lagoongap/workflow/adviceBroker.js';
import { chooseEndpoints } from '@lagoongap/workflow/endpointChoice.js';
import { LateQueryPlanner } from '@lagoongap/workflow/lateQueryPlanner.js';
import { RoomHolds } from '@lagoongap/workflow/roomHolds.js';
import { RunLedger } from '@lagoongap/workflow/runLedger.js';
import { TicketCache } from '@lagoongap/workflow/ticketCache.js';
import {
  DEFAULT_WORKFLOW_FEATURES,
  type WorkflowFeature,
} from '@lagoongap/workflow/workflowFeatures.js';

import { SimulatedAdvisor } from '../../workflow/simulatedAdvisor.js';
import { createReadyStep, createStep, WorkflowWorld } from '../../workflow/workflowWorld.js';

interface SchedulingSteps {
  world: WorkflowWorld;
  advisor: SimulatedAdvisor;
  /** Monotonic times of the starts of a job, by job. */
  startsMs: Map<string, number[]>;
  /** Query that an instance got. */
  query: AdviceQuery | undefined;
}

const TICKET_VALID_MS = 2500;

/** Instance whose polls the scenario makes one by one. */
const INSTANCE = 'polling';

const URGENT_QUEUE = 'urgent';

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

/** Submits a job of one step and records when its tasks start. */
async function submitJob(
  steps: SchedulingSteps,
  id: string,
  taskCount: number,
  ms: number,
  queue?: string,
): Promise<void> {
  const { driver } = steps.world;
  driver.durationsMs.set(id, ms);
  steps.startsMs ??= new Map();
  driver.onStarted = (_, { payload }) => {
    steps.startsMs.set(payload, [...(steps.startsMs.get(payload) ?? []), performance.now()]);
  };
  await steps.world.submit(id, [createStep({ taskCount, estimateMs: ms })], {}, queue);
}

When(
  'a job {string} of {int} tasks of {int} ms is submitted',
  async function submit(this: SchedulingSteps, id: string, taskCount: number, ms: number) {
    await submitJob(this, id, taskCount, ms);
  },
);

Given('an urgent queue', function addQueue(this: SchedulingSteps) {
  this.world.addQueue(URGENT_QUEUE, { priority: 0 });
});

When(
  'a job {string} of {int} tasks of {int} ms is submitted to the urgent queue',
  async function submit(this: SchedulingSteps, id: string, taskCount: number, ms: number) {
    await submitJob(this, id, taskCount, ms, URGENT_QUEUE);
  },
);

Given('the organisation has a run', async function start(this: SchedulingSteps) {
  const { world } = this;
  await world.addWorkers(1, 1, { pool: 'plain' });
  world.addQueue('plain', { advice: undefined, pool: 'plain' });
  world.driver.durationsMs.set('run', 60_000);
  await world.submit('run', [createStep({})], {}, 'plain');
  await world.advance(20);
});

Given(
  'the advisor denies all workers but the last {int}',
  function deny(this: SchedulingSteps, count: number) {
    const ids = [...this.world.records.keys()];
    for (const id of ids.slice(0, -count)) this.advisor.unsuitable.add(id);
  },
);

Then(
  'no query named an endpoint that an earlier answer for its step had denied',
  function check(this: SchedulingSteps) {
    const denied = new Set<string>();
    assert.ok(this.advisor.sent.length > 0);
    for (const { step, endpoints } of this.advisor.sent) {
      for (const id of endpoints) {
        assert.ok(!denied.has(`${step} ${id}`), `${step} ${id}`);
        if (this.advisor.unsuitable.has(id)) denied.add(`${step} ${id}`);
      }
    }
  },
);

Then('a query was sent for job {string}', function check(this: SchedulingSteps, id: string) {
  assert.ok(this.advisor.sent.some(({ step }) => step === firstStepOf(id)));
});

Then(
  'for {int} tasks and endpoints with {int} slots and a probability of {float}, a call of {float} ms and {float} ms names {int} to {int} endpoints',
  (
    tasks: number,
    slots: number,
    probability: number,
    fixedMs: number,
    perEndpointMs: number,
    min: number,
    max: number,
  ) => {
    const options = Array.from({ length: 200 }, (_, i) => ({ id: `w${i}`, slots, probability }));
    const { length } = chooseEndpoints(options, tasks, { fixedMs, perEndpointMs }, 100);
    assert.ok(length >= min && length <= max, `${length} endpoints`);
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

Then(
  'a query of a step of priority {int} names {word} first if the room on w1 is reserved for one of priority {int}',
  async function check(
    this: SchedulingSteps,
    priority: number,
    expected: string,
    heldPriority: number,
  ) {
    const size = { ...NO_RESOURCES, cpuMillis: 2000 };
    const holds = new RoomHolds();
    const untilMs = performance.now() + 1000;
    holds.add({ endpoint: 'w1', step: 'other', priority: heldPriority, size, untilMs });
    const ledger = new RunLedger();
    const context = { readConfig: () => this.world.session.readConfig() };
    const planner = new LateQueryPlanner({
      context,
      ledger,
      canPlace: () => true,
      isAdvisorIdle: () => false,
      holds,
    });
    await this.world.addWorkers(2, 2);
    const candidates = new Map(
      [...this.world.records].map(([id, record]) => {
        const usage = ledger.usageOf(id);
        return [id, { ...record, durationFactor: 1, isLatencySensitive: false, usage }];
      }),
    );
    const advice = { decideMs: 100, perEndpointMs: 1, validMs: TICKET_VALID_MS };
    const queue = { ...this.world.session.readConfig()!.queues[0]!, advice };
    const step = createReadyStep(createStep({ taskCount: 2 }));
    const cache = new TicketCache();
    const chosen = planner.plan({ step, queue, candidates, cache, priority });
    assert.equal(chosen[0], expected);
  },
);

Given('the advisor denies all workers', function deny(this: SchedulingSteps) {
  for (const id of this.world.records.keys()) this.advisor.unsuitable.add(id);
});

Then(
  '{int} advice requests had the result {string}',
  async function check(this: SchedulingSteps, expected: number, result: string) {
    const metric = this.world.meter.registry.getSingleMetric('lagoongap_advice_requests_total');
    const { values } = await metric!.get();
    const found = values.find(({ labels }) => labels.result === result);
    assert.equal(found?.value ?? 0, expected);
  },
);
