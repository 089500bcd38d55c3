import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import { AdviceAdmission } from '@lagoongap/workflow/adviceAdmission.js';
import { AdviceBroker, type AdviceQuery } from '@lagoongap/workflow/adviceBroker.js';
import { AdviceQueue, type QueuedQuery } from '@lagoongap/workflow/adviceQueue.js';

import { SimulatedAdvisor } from '../../workflow/simulatedAdvisor.js';
import type { WorkflowWorld } from '../../workflow/workflowWorld.js';

interface QueueSteps {
  world: WorkflowWorld;
  advisor: SimulatedAdvisor;
  broker: AdviceBroker;
  /** Query that an instance got. */
  query: AdviceQuery | undefined;
  /** Waiting times of the urgent queries by the monotonic time of their request. */
  urgentWaits: { queuedMs: number; waitMs: number }[];
  /** Time until the last late query was sent. */
  lastLateMs: number;
  /** Monotonic time at which the long queries began. */
  beganMs: number;
  instances: number;
}

const TICKET_VALID_MS = 2500;

/** Instance whose polls the scenario makes one by one. */
const INSTANCE = 'polling';

/** Steps that query for as long as a scenario takes. */
const LONG_PREFIX = 'long';

When(
  '{int} late queries wait while others of {int} ms with little slack arrive faster than they are sent',
  async function load(this: QueueSteps, late: number, callMs: number) {
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

Then('all late queries were sent within {int} ms', function check(this: QueueSteps, maxMs) {
  assert.ok(this.lastLateMs <= maxMs, `${this.lastLateMs} ms`);
});

When(
  '{int} long queries of {int} ms are kept waiting for {int} instances',
  async function load(this: QueueSteps, count: number, ms: number, instances: number) {
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
    this: QueueSteps,
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
  function check(this: QueueSteps, percent: number, firstMs: number, maxMs: number) {
    const waits = this.urgentWaits.filter(({ queuedMs }) => queuedMs >= this.beganMs + firstMs);
    const sorted = waits.map(({ waitMs }) => waitMs).sort((a, b) => a - b);
    const found = sorted[Math.floor((sorted.length * percent) / 100)]!;
    assert.ok(found <= maxMs, `${found} ms`);
  },
);

Then(
  'long calls got at least {int} % of the time of the instances',
  function check(this: QueueSteps, minPercent: number) {
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
  async function load(this: QueueSteps, count: number) {
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

When('an instance polls the broker', async function poll(this: QueueSteps) {
  this.broker
    .exchange(INSTANCE, [], 1000)
    .then((query) => {
      this.query = query;
    })
    .catch(() => undefined);
  await this.world.advance(20);
});

Then('the instance gets the last query at once', function check(this: QueueSteps) {
  assert.equal(this.query?.step, 's118');
});
