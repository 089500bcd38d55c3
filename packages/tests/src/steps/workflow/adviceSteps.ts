import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { AdvisorLoop, type Advisor } from '@lagoongap/daemon/advisorLoop.js';
import type { LeaderClient } from '@lagoongap/gateway/leaderClient.js';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import type { AdviceQuery, AdviceReport } from '@lagoongap/workflow/adviceBroker.js';
import { AdviceQueue, type QueuedQuery } from '@lagoongap/workflow/adviceQueue.js';

import { SimulatedAdvisor } from '../../workflow/simulatedAdvisor.js';
import { createStep, WorkflowWorld } from '../../workflow/workflowWorld.js';

interface AdviceSteps {
  world: WorkflowWorld;
  advisor: SimulatedAdvisor;
  query: Promise<AdviceQuery | undefined>;
  /** Reports of each exchange with the leader. */
  exchanges: AdviceReport[][];
  load: QueuedQuery[];
  maxWaitMs: number;
  /** Call time by priority. */
  callMs: number[];
}

const TICKET_VALID_MS = 2500;

/** Instance whose polls the scenario makes one by one. */
const INSTANCE = 'polling';

/** Duration of service tasks; longer than any scenario. */
const SERVICE_MS = 600_000;

Given(
  'an advisor that takes {int} ms and {float} ms per endpoint, queried by {int} instances',
  async function addAdvisor(this: AdviceSteps, decideMs, perEndpointMs, instances: number) {
    await this.world[Symbol.asyncDispose]();
    const advice = { decideMs, perEndpointMs, validMs: TICKET_VALID_MS };
    this.world = new WorkflowWorld({ advice });
    this.advisor = new SimulatedAdvisor(advice);
    this.advisor.serve(this.world.session.broker, instances);
  },
);

When(
  'service {string} of {int} tasks with at most {int} per worker is submitted',
  async function serve(this: AdviceSteps, id: string, taskCount: number, maxPerEndpoint: number) {
    for (const worker of this.world.driver.workers.values()) worker.durationMs = SERVICE_MS;
    await this.world.submit(id, [createStep({ taskCount, maxPerEndpoint, isService: true })]);
  },
);

Given('reports to the leader are delayed by {int} ms', function delay(this: AdviceSteps, ms) {
  this.advisor.reportDelayMs = ms;
});

Given('an instance that polls for a query', function poll(this: AdviceSteps) {
  this.query = this.world.session.broker.exchange(INSTANCE, [], 1000);
});

When(
  'the instance polls again, as a reset connection has lost the response',
  function poll(this: AdviceSteps) {
    this.query = this.world.session.broker.exchange(INSTANCE, [], 1000);
  },
);

Then('the instance gets a query at once', async function check(this: AdviceSteps) {
  const late = new Promise<undefined>((resolve) => {
    setTimeout(() => resolve(undefined), 1);
  });
  const [query] = await Promise.all([Promise.race([this.query, late]), this.world.advance(1)]);
  assert.equal(query?.step, 'j.0.0');
});

/**
 * Runs the loop of an instance for a second: the leader assigns a query in the first exchange, does
 * not respond to the next `failures`, and then has no other query.
 */
async function runLoop(
  steps: AdviceSteps,
  failures: number,
  query: Advisor['query'] = async () => ({ good: [], validMs: TICKET_VALID_MS }),
): Promise<void> {
  const assigned = { id: 7, step: 'j.0.0', endpoints: ['w1'], timeoutMs: 100 };
  steps.exchanges = [];
  const call = async (_: string, { reports }: { reports: AdviceReport[] }) => {
    const count = steps.exchanges.push(reports);
    if (count === 1) return assigned;
    if (count <= 1 + failures) throw new Error('no response');
    return new Promise(() => {});
  };
  const leader = { call } as unknown as LeaderClient;
  using loop = new AdvisorLoop({ leader, advisor: { query }, log: SILENT_LOG });
  loop.start();
  await steps.world.advance(1000);
}

When(
  'an instance has a report, and the leader does not respond to its first {int} calls',
  async function report(this: AdviceSteps, failures: number) {
    await runLoop(this, failures);
  },
);

When('the query of an instance fails unexpectedly', async function fail(this: AdviceSteps) {
  await runLoop(this, 0, () => Promise.reject(new Error('unexpected')));
});

Then('the instance polls for the next query', function check(this: AdviceSteps) {
  assert.equal(this.exchanges.length, 2);
});

Then('the leader receives the report once', function check(this: AdviceSteps) {
  const received = this.exchanges.at(-1)!.map(({ id }) => id);
  assert.deepEqual(received, [7]);
});

When(
  '{int} instances query the advisor for the new leader',
  async function serve(this: AdviceSteps, instances: number) {
    this.advisor.serve(this.world.session.broker, instances);
    await this.world.advance(20);
  },
);

When(
  'the instance reports that its query found no suitable endpoint',
  async function report(this: AdviceSteps) {
    const { id } = (await this.query)!;
    const none = { id, good: [], durationMs: 20, validMs: TICKET_VALID_MS };
    this.world.session.broker.exchange(INSTANCE, [none], 1000).catch(() => undefined);
  },
);

When(
  '{int} jobs of {int} tasks of {int} ms are submitted at once',
  async function submitAll(this: AdviceSteps, count: number, taskCount: number, ms: number) {
    for (const worker of this.world.driver.workers.values()) worker.durationMs = ms;
    const step = createStep({ taskCount, estimateMs: ms });
    for (let i = 0; i < count; i += 1) await this.world.submit(`job${i}`, [step]);
  },
);

Then('at least {int} runs were started', function checkStarts(this: AdviceSteps, min: number) {
  const { length } = this.world.driver.started;
  assert.ok(length >= min, `${length} runs`);
});

When('worker {word} fails for good', function fail(this: AdviceSteps, id: string) {
  const worker = this.world.driver.worker(id);
  worker.restart();
  worker.behaviour = 'silent';
});

Then('service {string} runs {int} tasks', function count(this: AdviceSteps, id, expected: number) {
  const names = new Set<string>();
  for (const { runs } of this.world.driver.workers.values()) {
    for (const { order } of runs.values()) if (order.payload === id) names.add(order.task);
  }
  assert.equal(names.size, expected);
});

When(
  '{int} urgent steps query for {int} ms calls without pause and {int} other steps for {int} ms calls',
  function setLoad(
    this: AdviceSteps,
    urgent: number,
    urgentMs: number,
    others: number,
    ms: number,
  ) {
    const repeat = (count: number, query: QueuedQuery): QueuedQuery[] =>
      Array.from({ length: count }, () => query);
    this.load = [
      ...repeat(urgent, { priority: 0, callMs: urgentMs }),
      ...repeat(others, { priority: 1, callMs: ms }),
    ];
  },
);

When(
  '{int} instances send the queries for {int} s',
  function send(this: AdviceSteps, instances: number, seconds: number) {
    const queue = new AdviceQueue<QueuedQuery & { queuedMs: number }>();
    for (const query of this.load) queue.add({ ...query, queuedMs: 0 });
    const freeAtMs = new Array<number>(instances).fill(0);
    const answered: { atMs: number; query: QueuedQuery }[] = [];
    this.maxWaitMs = 0;
    this.callMs = [0, 0];
    for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 1) {
      for (const { query } of answered.filter(({ atMs }) => atMs === nowMs)) {
        queue.add({ ...query, queuedMs: nowMs });
      }
      for (const [at, freeMs] of freeAtMs.entries()) {
        const query = freeMs <= nowMs ? queue.take() : undefined;
        if (!query) continue;
        freeAtMs[at] = nowMs + query.callMs;
        answered.push({ atMs: nowMs + query.callMs, query });
        this.callMs[query.priority]! += query.callMs;
      }
      for (const { queuedMs } of queue) this.maxWaitMs = Math.max(this.maxWaitMs, nowMs - queuedMs);
    }
  },
);

Then('no query waited longer than {int} ms', function checkWait(this: AdviceSteps, maxMs: number) {
  assert.ok(this.maxWaitMs <= maxMs, `${this.maxWaitMs} ms`);
});

Then(
  'urgent queries got between {int} % and {int} % of the call time',
  function checkShare(this: AdviceSteps, min: number, max: number) {
    const [urgent, others] = this.callMs as [number, number];
    const percent = (100 * urgent) / (urgent + others);
    assert.ok(percent >= min && percent <= max, `${percent} %`);
  },
);
