import assert from 'node:assert/strict';

import { Before, Given, Then, When, type IWorld } from '@cucumber/cucumber';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';
import { encodePayload } from '@lagoongap/storage/payloadCodec.js';
import { DurationModel } from '@lagoongap/workflow/durationModel.js';
import { EndpointSpeeds } from '@lagoongap/workflow/endpointSpeeds.js';
import type { WorkDescription } from '@lagoongap/workflow/workClass.js';

import { createNormal } from '../../workflow/createNormal.js';
import { createStep } from '../../workflow/workflowWorld.js';

interface LearnedWorld extends IWorld {
  model: DurationModel;
  former?: DurationModel;
  normal: () => number;
  speeds: EndpointSpeeds;
  workSpread: number;
  slowdown: number;
}

/** Median of work that varies. */
const MEDIAN_MS = 1000;
const ENDPOINTS = 8;
const BYTES_PER_KIB = 1024;

Before({ name: 'Create a duration model' }, function create(this: LearnedWorld) {
  this.model = new DurationModel();
  this.former = undefined;
  this.normal = createNormal(createSeededRandom(7));
});

function createWork(
  image: string,
  estimateMs: number,
  queue = 'q',
  taskCount = 1,
): WorkDescription {
  return { queue, organisation: 'o', spec: createStep({ image, estimateMs, taskCount }) };
}

function vary(world: LearnedWorld, ms: number, spread: number): number {
  return ms * Math.exp(spread * world.normal());
}

When(
  /^(\d+) steps of "(\w+)" that take (\d+)(?: or (\d+))? ms end, with estimates (of|off by) ([\d.]+)(?: ms)?$/,
  function recordSteps(this: LearnedWorld, count, image, ms, otherMs, way, amount) {
    for (let i = 0; i < Number(count); i += 1) {
      const durationMs = Number(otherMs && i % 2 === 1 ? otherMs : ms);
      const isFixed = way === 'of';
      const estimateMs = isFixed ? Number(amount) : vary(this, durationMs, Number(amount));
      this.model.record(createWork(image, estimateMs), 'a', durationMs);
    }
  },
);

When(
  /^(\d+) steps of "(\w+)" that vary by ([\d.]+) end, with estimates off by ([\d.]+)(, on both)?$/,
  function recordVaried(this: LearnedWorld, count, image, spread, error, isOnBoth?: string) {
    for (let i = 0; i < Number(count); i += 1) {
      const ms = vary(this, MEDIAN_MS, Number(spread));
      const work = createWork(image, vary(this, ms, Number(error)));
      this.model.record(work, 'a', ms);
      if (isOnBoth) this.former!.record(work, 'a', ms);
    }
  },
);

When(
  '1 step of {int} tasks of {string} that takes {int} ms ends, with an estimate of {int} ms',
  function recordWide(this: LearnedWorld, taskCount, image, ms, estimateMs) {
    const work = createWork(image, estimateMs, 'q', taskCount);
    for (let i = 0; i < taskCount; i += 1) this.model.record(work, 'a', ms);
  },
);

When(
  '{int} steps of {string} that take {int} ms end on endpoints of factor {float} and {float} alternately',
  function recordKinds(this: LearnedWorld, count: number, image, ms: number, fast, slow) {
    for (let i = 0; i < count; i += 1) {
      const factor = i % 2 === 0 ? fast : slow;
      this.model.record(createWork(image, vary(this, ms, 0.9)), `kind-${factor}`, ms * factor);
    }
  },
);

Then(
  'endpoints of factor {float} are expected to take {float} to {float} times as long as those of factor {float}',
  function checkKinds(this: LearnedWorld, slow, min: number, max: number, fast) {
    const ratio = this.model.kindFactor(`kind-${slow}`) / this.model.kindFactor(`kind-${fast}`);
    assert.ok(ratio >= min && ratio <= max, `${ratio}`);
  },
);

Then(
  /^a step of "(\w+)"(?: in queue "(\w+)")? with an estimate of (\d+) ms is expected to take (\d+) to (\d+) ms$/,
  function checkExpected(this: LearnedWorld, image, queue, estimate, min, max) {
    const { medianMs } = this.model.expect(createWork(image, Number(estimate), queue ?? 'q'));
    const isWithin = medianMs >= Number(min) - 1e-6 && medianMs <= Number(max) + 1e-6;
    assert.ok(isWithin, `${medianMs.toFixed(0)} ms`);
  },
);

Then(
  'the logarithm of the duration of {string} is expected to vary by at least {float}',
  function checkSpread(this: LearnedWorld, image: string, min: number) {
    const { spread } = this.model.expect(createWork(image, 1000));
    assert.ok(spread >= min, `${spread}`);
  },
);

When(
  '{int} classes of one step each end, with a step of {string} after each',
  function recordClasses(this: LearnedWorld, count: number, image: string) {
    for (let i = 0; i < count; i += 1) {
      this.model.record(createWork(`image-${i}`, 1000), 'a', 1000);
      this.model.record(createWork(image, 1000), 'a', 1000);
    }
  },
);

Then(
  'the model has at most {int} classes, {string} among them',
  function checkSize(this: LearnedWorld, max: number, image: string) {
    assert.ok(this.model.size <= max, `${this.model.size} classes`);
    assert.ok(this.model.expect(createWork(image, 1000)).weight > 1);
  },
);

Then('its snapshot takes at most {int} KiB', function checkBytes(this: LearnedWorld, max: number) {
  const size = encodePayload(this.model.snapshot()).byteLength;
  this.log(`snapshot of ${this.model.size} classes: ${size} bytes`);
  assert.ok(size <= max * BYTES_PER_KIB, `${size} bytes`);
});

When('the model is restored from its snapshot', function restore(this: LearnedWorld) {
  this.former = this.model;
  this.model = new DurationModel();
  this.model.restore(structuredClone(this.former.snapshot()));
});

Then('both models have the same snapshot', function compare(this: LearnedWorld) {
  assert.deepEqual(this.model.snapshot(), this.former!.snapshot());
});

Given(
  'steps of 8 tasks on 8 endpoints, one of which is {float} times slower, with work that varies by {float}',
  function createSpeeds(this: LearnedWorld, slowdown: number, spread: number) {
    this.slowdown = slowdown;
    this.workSpread = spread;
    this.speeds = new EndpointSpeeds();
  },
);

When('{int} such steps end', function endSteps(this: LearnedWorld, count: number) {
  for (let step = 0; step < count; step += 1) {
    const ms = vary(this, MEDIAN_MS, this.workSpread);
    const expected = { logMs: Math.log(MEDIAN_MS), variance: 0.81 };
    // The slow endpoint is number 0; it reports last.
    for (let i = ENDPOINTS - 1; i >= 0; i -= 1) {
      const duration = vary(this, i === 0 ? ms * this.slowdown : ms, 0.1);
      this.speeds.record(`w${i}`, `s${step}`, Math.log(duration), expected);
    }
  }
});

Then(
  'the slow endpoint is expected to take {float} to {float} times as long as the others',
  function checkSlow(this: LearnedWorld, min: number, max: number) {
    const ratio = this.speeds.factorOf('w0') / this.speeds.factorOf('w4');
    assert.ok(ratio >= min && ratio <= max, `${ratio}`);
  },
);

Then(
  'the others are expected to differ by at most {int} %',
  function checkOthers(this: LearnedWorld, percent: number) {
    const factors = Array.from({ length: ENDPOINTS - 1 }, (_, i) =>
      this.speeds.factorOf(`w${i + 1}`),
    );
    const ratio = Math.max(...factors) / Math.min(...factors);
    assert.ok(ratio <= 1 + percent / 100, `${ratio}`);
  },
);

Then('all endpoints are expected to take equally long', function checkEqual(this: LearnedWorld) {
  const factors = Array.from({ length: ENDPOINTS }, (_, i) => this.speeds.factorOf(`w${i}`));
  assert.deepEqual(new Set(factors), new Set([1]));
});
