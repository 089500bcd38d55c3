import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';

import type { Mutation } from '../../consensus/mutation.js';
import { runSchedules, type Finding } from '../../consensus/runSchedules.js';
import { createSimulationOptions, type ScheduleKind } from '../../consensus/simulationOptions.js';

/** Timeout for a set of schedules, long enough for a busy machine. */
const TIMEOUT = { timeout: 120_000 };

interface ScheduleWorld {
  finding: Finding | undefined;
}

function describe(finding: Finding | undefined): string {
  if (finding === undefined) return 'no rule was broken';
  return `seed ${finding.seed} breaks a rule: ${finding.violation.message}`;
}

When(
  '{int} consensus schedules with {string} run from seed {int}',
  TIMEOUT,
  function runKind(this: ScheduleWorld, count: number, kind: ScheduleKind, seed: number) {
    this.finding = runSchedules(createSimulationOptions(kind), count, seed);
  },
);

When(
  'up to {int} consensus schedules with {string} run from seed {int} under the mutation {string}',
  TIMEOUT,
  function runMutated(
    this: ScheduleWorld,
    count: number,
    kind: ScheduleKind,
    seed: number,
    mutation: Mutation,
  ) {
    this.finding = runSchedules(createSimulationOptions(kind, { mutation }), count, seed);
  },
);

Then('no rule of consensus is broken', function checkNone(this: ScheduleWorld) {
  assert.equal(this.finding, undefined, describe(this.finding));
});

Then(
  'the consensus checker reports {string} with a seed',
  function checkReported(this: ScheduleWorld, rule: string) {
    assert.equal(this.finding?.violation.rule, rule, describe(this.finding));
  },
);
