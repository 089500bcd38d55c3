import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';

import type { AdviceReport } from '@lagoongap/workflow/adviceBroker.js';

import type { WorkerBehaviour } from '../../workflow/fakeWorker.js';
import { createStep, WorkflowWorld } from '../../workflow/workflowWorld.js';

interface Steps {
  world: WorkflowWorld;
  maxTasks: number;
}

const BEHAVIOURS: Record<string, WorkerBehaviour> = {
  'loses its responses to start orders': 'start-answers-lost',
  'executes start orders late': 'starts-late',
  'stalls the tasks that it starts': 'stalled',
  'fails the tasks that it starts': 'failing',
  'becomes unresponsive': 'silent',
};

const ADVANCE_INTERVAL_MS = 20;

/** Duration of service tasks; longer than any scenario. */
const SERVICE_MS = 600_000;

After(async function disposeWorld(this: Steps) {
  await this.world?.[Symbol.asyncDispose]();
});

/** Advances the clock and records the largest number of tasks on any worker. */
async function pass(steps: Steps, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += ADVANCE_INTERVAL_MS) {
    await steps.world.advance(Math.min(ADVANCE_INTERVAL_MS, ms - passed));
    for (const { runs } of steps.world.driver.workers.values()) {
      steps.maxTasks = Math.max(steps.maxTasks ?? 0, runs.size);
    }
  }
}

function setDuration(steps: Steps, ms: number): void {
  for (const worker of steps.world.driver.workers.values()) worker.durationMs = ms;
}

Given('a workflow leader', function createLeader(this: Steps) {
  this.world = new WorkflowWorld();
});

Given('a queue with an advisor', async function addAdvice(this: Steps) {
  await this.world[Symbol.asyncDispose]();
  this.world = new WorkflowWorld({ advice: { decideMs: 20, perEndpointMs: 1, validMs: 2500 } });
});

Given(
  'a leader whose scheduling cycles have time for one step only',
  async function limit(this: Steps) {
    await this.world[Symbol.asyncDispose]();
    this.world = new WorkflowWorld({}, { turnMs: -1 });
  },
);

Given('an instance that polls for queries and becomes unresponsive', function fail(this: Steps) {
  this.world.session.broker.exchange('unresponsive', [], 60_000).catch(() => undefined);
});

Given('an instance that answers queries', function answerQueries(this: Steps) {
  const { broker } = this.world.session;
  const poll = async (reports: AdviceReport[]): Promise<void> => {
    const query = await broker.exchange('answering', reports, 1000);
    if (!query) return poll([]);
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    const good = query.endpoints.map((endpoint) => ({ endpoint, ticket: 't' }));
    return poll([{ id: query.id, good, durationMs: 20, validMs: 2500 }]);
  };
  // Polls after the unresponsive instance, so that this one gets the second query.
  setTimeout(() => {
    poll([]).catch(() => undefined);
  }, 1);
});

Given('{int} workers of {int} cores', async function addWorkers(this: Steps, count, cores) {
  await this.world.addWorkers(count, cores);
});

Given('only worker {word} has the label {string}', async function add(this: Steps, id, label) {
  const record = this.world.records.get(id)!;
  this.world.records.set(id, { ...record, labels: [...record.labels, label] });
  await this.world.sendHeartbeats();
});

Given('the organisation is limited to {int} cores', function limit(this: Steps, cores: number) {
  this.world.limitCores(cores);
});

Given(
  /^worker (\w+) (loses its responses to start orders|executes start orders late|stalls the tasks that it starts|fails the tasks that it starts|becomes unresponsive)$/,
  function setBehaviour(this: Steps, id: string, behaviour: string) {
    this.world.driver.worker(id).behaviour = BEHAVIOURS[behaviour]!;
  },
);

Given('the ends of runs are committed late', function holdEnds(this: Steps) {
  this.world.log.heldType = 'end';
});

When('the late ends are committed', async function commitEnds(this: Steps) {
  this.world.log.commitHeld();
  await this.world.advance(50);
});

Given(
  'responses of worker {word} to start orders are held up for {int} ms',
  function delayResponses(this: Steps, id: string, ms: number) {
    this.world.driver.worker(id).startResponseDelayMs = ms;
  },
);

When('worker {word} restarts', async function restart(this: Steps, id: string) {
  this.world.driver.worker(id).restart();
  await this.world.sendHeartbeats();
});

When('worker {word} restarts between two heartbeats', function restart(this: Steps, id: string) {
  this.world.driver.worker(id).restart();
});

When(
  'worker {word} restarts silently with a clock of {int} ms',
  function restart(this: Steps, id: string, clockMs: number) {
    this.world.driver.worker(id).restart({ clockMs, isSilent: true });
  },
);

When('worker {word} responds again', function restore(this: Steps, id: string) {
  this.world.driver.worker(id).behaviour = 'sound';
});

When('worker {word} leaves', function leave(this: Steps, id: string) {
  this.world.session.endpoints.leave(id);
  this.world.driver.worker(id).behaviour = 'silent';
});

When(
  'worker {word} leaves and its instance is off {int} ms after the end of its process',
  async function leave(this: Steps, id: string, ms: number) {
    const worker = this.world.driver.worker(id);
    this.world.session.endpoints.leave(id);
    worker.crash();
    worker.closedConnections = 3;
    await pass(this, ms);
    worker.behaviour = 'silent';
  },
);

Given('registrations of endpoints cannot be committed at first', function refuse(this: Steps) {
  this.world.log.refusesRegistrations = true;
});

When('registrations of endpoints can be committed again', function accept(this: Steps) {
  this.world.log.refusesRegistrations = false;
});

When('worker {word} registers again', async function register(this: Steps, id: string) {
  const worker = this.world.driver.worker(id);
  worker.restart();
  worker.behaviour = 'sound';
  await this.world.sendHeartbeats();
  await pass(this, 100);
});

When('worker {word} is draining', async function drain(this: Steps, id: string) {
  const record = this.world.records.get(id)!;
  this.world.records.set(id, { ...record, isDraining: true });
  await this.world.sendHeartbeats();
});

When(
  'worker {word} completes new tasks after {int} ms',
  function setWorkerDuration(this: Steps, id: string, ms: number) {
    this.world.driver.worker(id).durationMs = ms;
  },
);

When('job {string} of {int} tasks is submitted', async function submit(this: Steps, id, count) {
  await this.world.submit(id, [createStep({ taskCount: count })]);
});

When(
  'job {string} of {int} tasks of {int} ms is submitted',
  async function submitLong(this: Steps, id: string, count: number, ms: number) {
    setDuration(this, ms);
    await this.world.submit(id, [createStep({ taskCount: count, estimateMs: ms })]);
  },
);

When(
  'job {string} of {int} tasks that may be copied is submitted',
  async function submitCopied(this: Steps, id: string, count: number) {
    await this.world.submit(id, [createStep({ taskCount: count, allowsCopies: true })]);
  },
);

When(
  'job {string} of {int} tasks with at most {int} per worker is submitted',
  async function submitSpread(this: Steps, id: string, count: number, max: number) {
    await this.world.submit(id, [createStep({ taskCount: count, maxPerEndpoint: max })]);
  },
);

When(
  'job {string} of steps with {int} and {int} tasks is submitted',
  async function submitSteps(this: Steps, id: string, first: number, second: number) {
    const steps = [
      createStep({ taskCount: first }),
      createStep({ taskCount: second, dependsOn: [0] }),
    ];
    await this.world.submit(id, steps);
  },
);

When('gang job {string} of {int} tasks is submitted', async function gang(this: Steps, id, count) {
  await this.world.submit(id, [createStep({ taskCount: count, isGang: true })]);
});

When('service {string} of {int} tasks is submitted', async function serve(this: Steps, id, count) {
  await this.world.submit(id, [createStep({ taskCount: count, isService: true })]);
});

When(
  'job {string} of 1 task is submitted for {int} times, {float} ms apart',
  async function repeat(this: Steps, id: string, count: number, intervalMs: number) {
    const schedule = { firstMs: Date.now() + 100, intervalMs, count };
    await this.world.submit(id, [createStep({})], { schedule });
  },
);

When(
  '{int} jobs of 1 task are submitted {int} ms apart',
  async function submitMany(this: Steps, count: number, intervalMs: number) {
    for (let i = 0; i < count; i += 1) {
      await this.world.submit(`job${i}`, [createStep({})]);
      await pass(this, intervalMs);
    }
  },
);

When(
  '{int} jobs that need the label {string} are submitted',
  async function submitLabelled(this: Steps, count: number, requiredLabel: string) {
    for (let i = 0; i < count; i += 1) {
      await this.world.submit(`labelled${i}`, [createStep({ requiredLabel })]);
    }
  },
);

When(
  /^(service|job) "(\w+)" that needs the label "(\w+)" is submitted$/,
  async function submitLabelled(this: Steps, kind: string, id: string, requiredLabel: string) {
    await this.world.submit(id, [createStep({ requiredLabel, isService: kind === 'service' })]);
  },
);

When('job {string} is cancelled', async function cancel(this: Steps, id: string) {
  const response = await this.world.call({ operation: 'cancel' }, id);
  assert.equal(response.type, 'cancelled');
});

When('the workflow leader loses its majority', function stall(this: Steps) {
  this.world.log.hasLostMajority = true;
});

When(
  'the workflow leader loses its majority after committing its next starts',
  function lose(this: Steps) {
    this.world.log.losesMajorityAfterStart = true;
  },
);

When('the workflow leader regains its majority', function resume(this: Steps) {
  this.world.log.hasLostMajority = false;
});

When('the inspection of worker {word} gets no response', function lose(this: Steps, id: string) {
  this.world.driver.loseInspections(id);
});

When(
  'the event loop of the workflow leader is blocked for {int} ms',
  async function block(this: Steps, ms: number) {
    await this.world.blockEventLoop(ms);
  },
);

Given('the heartbeats of all workers are lost', function lose(this: Steps) {
  this.world.losesHeartbeats = true;
});

When('the workflow leader changes', async function changeLeader(this: Steps) {
  await this.world.changeLeader();
});

When(
  'the workflow leader changes after {int} ms without a leader',
  async function change(this: Steps, gapMs: number) {
    await this.world.changeLeader(gapMs);
  },
);

When('{int} ms of workflow time pass', async function passTime(this: Steps, ms: number) {
  await pass(this, ms);
});

Then('job {string} is {string}', async function checkState(this: Steps, id: string, state: string) {
  const response = await this.world.call({ operation: 'read' }, id);
  assert.deepEqual(response, { type: 'state', state });
});

Then('at least {int} jobs are {string}', function countJobs(this: Steps, count: number, status) {
  const jobs = [...this.world.state.jobs.values()];
  const matching = jobs.filter((job) => job.status === status).length;
  assert.ok(matching >= count, `${matching} of ${jobs.length} jobs are ${status}`);
});

Then('{int} runs were started', function countStarts(this: Steps, count: number) {
  assert.equal(this.world.driver.started.length, count);
});

When(
  'a wave over {int} instances with at most {int} down is opened',
  async function openWave(this: Steps, count: number, maxDown: number) {
    const instances = [...this.world.records.values()].slice(0, count).map((r) => r.instance);
    await this.world.log.propose({
      type: 'open-wave',
      number: 1,
      instances,
      withinMs: 20_000,
      maxDown,
    });
  },
);

When(
  'service {string} of {int} tasks of which {int} may be unavailable is submitted',
  async function serve(this: Steps, id: string, count: number, unavailable: number) {
    setDuration(this, SERVICE_MS);
    const spread = {
      taskCount: count,
      isService: true,
      maxUnavailable: unavailable,
      maxPerEndpoint: 1,
    };
    await this.world.submit(id, [createStep(spread)]);
  },
);

Given('the response to the next maintenance request is lost', function lose(this: Steps) {
  this.world.lostMaintenanceResponses = 1;
});

Then('the wave is completed with {int} instances maintained', function check(this: Steps, count) {
  assert.equal(this.world.state.waves.get(1)!.isCompleted, true);
  assert.equal(new Set(this.world.maintained).size, count);
});

Then('{int} instances were maintained', function check(this: Steps, count: number) {
  assert.equal(this.world.maintained.length, count);
});

Given(
  'tasks on worker {word} are at work {int} ms after their start',
  function setStartup(this: Steps, id: string, ms: number) {
    this.world.driver.worker(id).startupMs = ms;
  },
);

Then('at most {int} task was away at once after maintenance', function check(this: Steps, max) {
  assert.ok(this.world.maxAway <= (max as number), `${this.world.maxAway} were away`);
});

Then('at most {int} instances were down at once', function checkDown(this: Steps, max: number) {
  assert.ok(this.world.maxDown <= max, `${this.world.maxDown} were down`);
});

Then('{int} tasks are running', function countRunning(this: Steps, count: number) {
  const workers = [...this.world.driver.workers.values()];
  assert.equal(
    workers.reduce((sum, { runs }) => sum + runs.size, 0),
    count,
  );
});

Then('no task is running', function checkIdle(this: Steps) {
  for (const { runs } of this.world.driver.workers.values()) assert.equal(runs.size, 0);
});

Then(
  'no task of job {string} was started more than once',
  function checkJobOnce(this: Steps, id: string) {
    const names = this.world.driver.started.map((key) => key.slice(0, key.lastIndexOf(':')));
    const started = names.filter((name) => name.startsWith(`${id}.`));
    assert.equal(new Set(started).size, started.length, started.join(' '));
  },
);

Then('no task was started more than once', function checkOnce(this: Steps) {
  const tasks = this.world.driver.started.map((run) => run.split(':')[0]);
  assert.equal(new Set(tasks).size, tasks.length, tasks.join(' '));
});

Then('no task ran twice at the same time', function checkTwice(this: Steps) {
  assert.ok(this.world.driver.maxRunsPerTask <= 1);
});

Then('worker {word} has started no run', function checkNone(this: Steps, id: string) {
  assert.deepEqual(this.world.driver.worker(id).started, []);
});

Then('worker {word} has started {int} runs', function check(this: Steps, id: string, count) {
  assert.equal(this.world.driver.worker(id).started.length, count);
});

Then('no worker had more than {int} tasks', function checkTaskCount(this: Steps, max: number) {
  assert.ok(this.maxTasks <= max, `${this.maxTasks} tasks`);
});

Then(
  'a call for job {string} returns {string}',
  async function checkCall(this: Steps, id: string, type: string) {
    assert.equal((await this.world.call({ operation: 'read' }, id)).type, type);
  },
);

Then(
  'a call with key {string} returns {string}',
  async function checkKey(this: Steps, key: string, type: string) {
    assert.equal((await this.world.call({ operation: 'read' }, 'j', key)).type, type);
  },
);

Then('a call for the queue returns {string}', async function checkQueue(this: Steps, type) {
  assert.equal((await this.world.call({ operation: 'read' }, '')).type, type);
});
