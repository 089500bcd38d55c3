import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { ClusterState } from '@lagoongap/state/clusterState.js';

interface CrashStateWorld {
  state: ClusterState;
  unitId: string;
  kind: 'batch' | 'gang' | 'request';
  noRepeat: boolean;
  attempts: number;
}

/** Fields that versions without a count of crashes did not write. */
const CRASH_FIELDS = ['crashes', 'session'];

function createJob(
  world: CrashStateWorld,
  opts: { kind?: 'batch' | 'gang'; tasks?: number; noRepeat?: boolean } = {},
): void {
  const { kind = 'batch', tasks = 1, noRepeat = false } = opts;
  world.state = new ClusterState();
  Object.assign(world, { unitId: 'job-1', kind, noRepeat, attempts: 0 });
  const size = { ...NO_RESOURCES, cpuMillis: 100 };
  const spec = { kind, queue: 'queue-1', work: 'work-1', tasks, size, noRepeat };
  const job = { id: world.unitId, team: 'team-1', spec, priority: 1 };
  world.state.apply({ index: 1, command: { type: 'submit-jobs', jobs: [job], wallTime: 1 } });
}

/** Starts a task on an endpoint of its own, and returns the attempt. */
function start(world: CrashStateWorld, taskIndex = 0): { id: string; endpointId: string } {
  world.attempts += 1;
  const { state, unitId, kind, noRepeat, attempts } = world;
  const id = `attempt-${attempts}`;
  const endpointId = `endpoint-${attempts}`;
  const attempt = {
    id,
    unitId,
    kind,
    taskIndex,
    team: 'team-1',
    queue: 'queue-1',
    work: 'work-1',
    priority: 1,
    endpointId,
    size: NO_RESOURCES,
    declared: NO_RESOURCES,
    noRepeat,
  };
  const command = { type: 'start-attempts', attempts: [attempt], wallTime: 1 };
  const [result] = state.apply({ index: attempts * 2, command }) as { status: string }[];
  assert.equal(result!.status, 'started');
  return attempt;
}

function finish(world: CrashStateWorld, attempt: string, details: Record<string, unknown>): void {
  const finished = [{ attempt, ...details }];
  const command = { type: 'finish-attempts', finished, wallTime: 1 };
  world.state.apply({ index: world.attempts * 2 + 1, command });
}

/** Starts the work on an endpoint of its own and ends the attempt as lost. */
function lose(
  world: CrashStateWorld,
  createDetails: (endpoint: string) => Record<string, unknown>,
): void {
  const { id, endpointId } = start(world);
  finish(world, id, { outcome: 'lost', ...createDetails(endpointId) });
}

/** Starts a gang; some of its tasks are lost in the crash of one endpoint, the others stopped. */
function loseGang(world: CrashStateWorld, lost: number[], isSole: boolean): void {
  const { tasks } = world.state.jobs.get(world.unitId)!;
  const attempts = tasks.map((_, index) => start(world, index));
  const crash = { endpoint: attempts[lost[0]!]!.endpointId, isSole };
  for (const index of lost) finish(world, attempts[index]!.id, { outcome: 'lost', crash });
  attempts.forEach(({ id }, index) => {
    if (!lost.includes(index)) finish(world, id, { outcome: 'stopped' });
  });
}

Given('a batch task in the state', function create(this: CrashStateWorld) {
  createJob(this);
});

Given(
  'a batch task in the state that must not be repeated',
  function createUnrepeatable(this: CrashStateWorld) {
    createJob(this, { noRepeat: true });
  },
);

Given('a request in the state', function createRequest(this: CrashStateWorld) {
  this.state = new ClusterState();
  Object.assign(this, { unitId: 'request-1', kind: 'request', noRepeat: false, attempts: 0 });
});

When(
  /^it is lost in (\d+) crash(?:es)? as (the only suspect|one of several suspects)$/,
  function loseInCrash(this: CrashStateWorld, times: string, role: string) {
    const isSole = role === 'the only suspect';
    for (let i = 0; i < Number(times); i += 1) {
      lose(this, (endpoint) => ({ crash: { endpoint, isSole } }));
    }
  },
);

Given('a gang of {int} tasks in the state', function create(this: CrashStateWorld, tasks: number) {
  createJob(this, { kind: 'gang', tasks });
});

When(
  /^its runs are lost in crashes under tasks ([\d+, ]+) as (the only suspect|one of several suspects)$/,
  function loseRuns(this: CrashStateWorld, runs: string, role: string) {
    for (const run of runs.split(', ')) {
      loseGang(this, run.split('+').map(Number), role === 'the only suspect');
    }
  },
);

Then('the gang is {string}', function checkGang(this: CrashStateWorld, expected: string) {
  assert.equal(this.state.jobs.get(this.unitId)!.state, expected);
});

When('it is lost {int} times without a crash', function loseTimes(this: CrashStateWorld, times) {
  for (let i = 0; i < times; i += 1) lose(this, () => ({}));
});

When('it is lost after it has worked for a while', function loseLate(this: CrashStateWorld) {
  lose(this, () => ({ hasWorked: true }));
});

When('the state is restored from its snapshot', function restore(this: CrashStateWorld) {
  const snapshot = JSON.parse(JSON.stringify(this.state.snapshot()));
  this.state = new ClusterState();
  this.state.restore(snapshot);
});

When(
  'the state is restored from its snapshot without crashes and sessions',
  function restoreOld(this: CrashStateWorld) {
    const text = JSON.stringify(this.state.snapshot(), (key, value) =>
      CRASH_FIELDS.includes(key) ? undefined : value,
    );
    this.state = new ClusterState();
    this.state.restore(JSON.parse(text));
  },
);

Then('the task is {string}', function checkTask(this: CrashStateWorld, expected: string) {
  const job = this.state.jobs.get(this.unitId)!;
  assert.equal(job.tasks[0]!.state, expected);
  assert.equal(job.state, expected);
});

Then('the request is {string}', function checkRequest(this: CrashStateWorld, expected: string) {
  assert.equal(this.state.requests.get(this.unitId)!.state, expected);
});

Then(
  'the message of its job names {int} crashed endpoints',
  function checkMessage(this: CrashStateWorld, count: number) {
    const { message } = this.state.jobs.get(this.unitId)!;
    for (let i = 1; i <= count; i += 1) {
      assert.ok(message?.includes(`endpoint-${i}`), `${message} does not name endpoint-${i}`);
    }
  },
);
