import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';

import type { RaftTiming } from '@lagoongap/consensus/raftTiming.js';

import type { Mutation } from '../../consensus/mutation.js';
import { runSchedules, type Finding } from '../../consensus/runSchedules.js';
import { Simulation } from '../../consensus/simulation.js';
import { createSimulationOptions, type ScheduleKind } from '../../consensus/simulationOptions.js';

/** Timeout for a set of schedules, long enough for a busy machine. */
const TIMEOUT = { timeout: 120_000 };

interface ScheduleWorld {
  finding: Finding | undefined;
  timing: RaftTiming;
  /** Time without a valid leader after the kill of the leader, by seed, in milliseconds. */
  failoverMs: Map<number, number>;
}

/** Leader validity as a share of the minimum election timeout. */
const VALIDITY_SHARE = 0.8;

/** Longest normal duration of a write in the clusters whose leader is killed. */
const FAST_WRITE_MS = 5;

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
  '{int} consensus schedules with {string} and {int} voters run from seed {int}',
  TIMEOUT,
  function runSized(
    this: ScheduleWorld,
    count: number,
    kind: ScheduleKind,
    replicaCount: number,
    seed: number,
  ) {
    this.finding = runSchedules(createSimulationOptions(kind, { replicaCount }), count, seed);
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

When(
  'the leader is killed in {int} clusters of {int} voters with heartbeats of {int} ms and election timeouts of {int} to {int} ms',
  TIMEOUT,
  function killLeaders(
    this: ScheduleWorld,
    count: number,
    voters: number,
    heartbeatMs: number,
    electionMinMs: number,
    electionMaxMs: number,
  ) {
    const leaderValidityMs = electionMinMs * VALIDITY_SHARE;
    this.timing = { heartbeatMs, electionMinMs, electionMaxMs, leaderValidityMs };
    const options = createSimulationOptions('failover', {
      replicaCount: voters,
      timing: this.timing,
      maxWriteMs: FAST_WRITE_MS,
    });
    this.failoverMs = new Map();
    for (let seed = 1; seed <= count; seed += 1) {
      this.failoverMs.set(seed, new Simulation(seed, options).measureFailover());
    }
  },
);

Then(
  'each has a valid leader again within one maximum election timeout and three heartbeats',
  function checkFailover(this: ScheduleWorld) {
    const { electionMaxMs, heartbeatMs } = this.timing;
    const boundMs = electionMaxMs + 3 * heartbeatMs;
    const slow = [...this.failoverMs].filter(([, ms]) => ms > boundMs);
    const list = slow.map(([seed, ms]) => `seed ${seed}: ${Math.round(ms)} ms`);
    assert.deepEqual(list, [], `${list.length} elections took longer than ${boundMs} ms`);
  },
);
