import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { createLogger } from '@lagoongap/telemetry/createLogger.js';
import {
  NOOP_METRICS_RECORDER,
  type WorkflowMetricsRecorder,
} from '@lagoongap/telemetry/workflowMetricsRecorder.js';
import type { CellConfig } from '@lagoongap/workflow/cellConfig.js';
import { NO_INSTANCE_API } from '@lagoongap/workflow/instanceApi.js';
import { WorkflowSession } from '@lagoongap/workflow/workflowSession.js';
import { DEFAULT_WORKFLOW_TIMING } from '@lagoongap/workflow/workflowTiming.js';

import { AutoCommitLog } from '../../workflow/autoCommitLog.js';
import { SteadyDriver } from '../../workflow/steadyDriver.js';
import { TakeoverState } from '../../workflow/takeoverState.js';

interface TakeoverWorld {
  takeover: TakeoverState;
  driver: SteadyDriver;
  session?: WorkflowSession;
  lines: Record<string, unknown>[];
  endedJobs: number;
  longestTurnMs: number;
}

const TIMEOUT = { timeout: 60_000 };
const NANOS_PER_MS = 1_000_000;

/** Time for which the turns of the event loop are measured; several rounds of housekeeping. */
const OBSERVED_MS = 1500;

const CONFIG: CellConfig = {
  version: 1,
  queues: [
    {
      name: 'q',
      host: 'h',
      pathPrefix: '/q/',
      pool: 'p',
      priority: 1,
      maxAttempts: 3,
      stretch: 1,
      targetMs: 0,
      isOpen: false,
      advice: { decideMs: 20, perEndpointMs: 1, validMs: 2500 },
    },
  ],
  organisations: [{ name: 'o', keys: ['k'], weight: 1, limit: { ...NO_RESOURCES } }],
};

/** Returns the processor time of the main thread in milliseconds, without its waits for a core. */
function readThreadTimeMs(): number {
  const [nanos] = readFileSync(`/proc/self/task/${process.pid}/schedstat`, 'utf8').split(' ');
  return Number(nanos) / NANOS_PER_MS;
}

/** Collects the garbage of earlier steps, so that its collection does not count. */
function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
}

/** Returns the longest processor time of an event-loop iteration. */
async function measureLongestTurn(act: () => void, forMs: number): Promise<number> {
  let longestMs = 0;
  let beforeMs = readThreadTimeMs();
  const endMs = performance.now() + forMs;
  act();
  while (performance.now() < endMs) {
    await new Promise(setImmediate);
    const nowMs = readThreadTimeMs();
    longestMs = Math.max(longestMs, nowMs - beforeMs);
    beforeMs = nowMs;
  }
  return longestMs;
}

After(async function disposeSession(this: TakeoverWorld) {
  if (this.session instanceof WorkflowSession) await this.session[Symbol.asyncDispose]();
});

Given(
  'a stored state of {int} endpoints, {int} open jobs with {int} runs, and {int} ended jobs',
  TIMEOUT,
  function createState(
    this: TakeoverWorld,
    endpoints: number,
    openJobs: number,
    runs: number,
    endedJobs: number,
  ) {
    this.takeover = new TakeoverState({ endpoints, openJobs, endedJobs, runs });
    this.driver = new SteadyDriver(this.takeover.state);
  },
);

When('a new leader takes it over', TIMEOUT, async function takeOver(this: TakeoverWorld) {
  const { state } = this.takeover;
  const { driver } = this;
  this.endedJobs = 0;
  const texts: string[] = [];
  const write = (text: string): number => texts.push(text);
  const meter: WorkflowMetricsRecorder = {
    ...NOOP_METRICS_RECORDER,
    countJobEnded: () => {
      this.endedJobs += 1;
    },
  };
  const session = new WorkflowSession({
    log: new AutoCommitLog(state, 2),
    state,
    driver,
    instances: NO_INSTANCE_API,
    holder: 'leader',
    parseConfig: () => CONFIG,
    timing: DEFAULT_WORKFLOW_TIMING,
    logger: createLogger({ stream: { write } }),
    meter,
    isValid: () => true,
  });
  this.session = session;
  collectGarbage();
  this.longestTurnMs = await measureLongestTurn(() => session.start(), OBSERVED_MS);
  this.lines = texts.map((text) => JSON.parse(text) as Record<string, unknown>);
});

Then(
  'no turn of the event loop took more than {int} ms of processor time',
  function checkTurns(this: TakeoverWorld, maxMs: number) {
    assert.ok(this.longestTurnMs <= maxMs, `one took ${this.longestTurnMs} ms`);
  },
);

Then('all {int} runs are adopted', function checkRuns(this: TakeoverWorld, count: number) {
  const begin = this.lines.find(({ message }) => message === 'leadership of workflows begins');
  assert.equal(begin?.runs, count);
  assert.equal(this.driver.stopCount, 0);
  assert.equal(this.driver.startCount, 0);
});

Then('the end of no job is logged or counted', function checkEnds(this: TakeoverWorld) {
  assert.equal(this.lines.filter(({ message }) => message === 'job ended').length, 0);
  assert.equal(this.endedJobs, 0);
});
