import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { OccurrenceTimers } from '@lagoongap/workflow/occurrenceTimers.js';
import FakeTimers from '@sinonjs/fake-timers';

import type { WorkflowWorld } from '../../workflow/workflowWorld.js';

interface OddHeartbeatSteps {
  world: WorkflowWorld;
  timerClock?: ReturnType<typeof FakeTimers.install>;
  dueCount: number;
}

const ODD_ID = 'odd';
const MS_PER_DAY = 86_400_000;

After(function uninstall(this: OddHeartbeatSteps) {
  this.timerClock?.uninstall();
});

When(
  'an odd heartbeat of worker {word} has sequence {int}',
  async function send(this: OddHeartbeatSteps, id: string, sequence: number) {
    await this.world.deliverOddHeartbeat(id, {}, { sequence });
  },
);

When(
  'an odd heartbeat of worker {word} has clock {int}',
  async function send(this: OddHeartbeatSteps, id: string, clockMs: number) {
    await this.world.deliverOddHeartbeat(id, {}, { clockMs });
    await this.world.sendHeartbeats();
  },
);

When(
  'an odd heartbeat of worker {word} claims a newer incarnation',
  async function send(this: OddHeartbeatSteps, id: string) {
    await this.world.deliverOddHeartbeat(id, { bornMs: 50 });
  },
);

When(
  /^an odd heartbeat claims a newer incarnation at the (address|instance) of worker (\w+)$/,
  async function send(this: OddHeartbeatSteps, place: string, id: string) {
    this.world.driver.worker(ODD_ID).behaviour = 'silent';
    const other = place === 'address' ? { instance: 'm-odd' } : { address: 'odd:1' };
    await this.world.deliverOddHeartbeat(id, { id: ODD_ID, bornMs: 50, ...other });
  },
);

When(
  'an odd heartbeat of worker {word} has another address',
  async function send(this: OddHeartbeatSteps, id: string) {
    this.world.driver.worker(id).address = this.world.records.get(id)!.address;
    await this.world.deliverOddHeartbeat(id, { address: 'odd:1' });
  },
);

function listOtherRun({ world }: OddHeartbeatSteps, id: string, task: string): void {
  const row = { run: 1, checkpoint: '', percent: 100, load: 0 };
  world.driver.worker(id).otherRuns = [{ task, ...row }];
}

Given(
  'worker {word} lists a run of {string} that this job cannot have',
  function list(this: OddHeartbeatSteps, id: string, job: string) {
    listOtherRun(this, id, `${job}.0.7.0`);
  },
);

When(
  'worker {word} lists a run of {string} as task {string}',
  function list(this: OddHeartbeatSteps, id: string, job: string, name: string) {
    listOtherRun(this, id, `${job}.${name}`);
  },
);

When(
  'the runs that worker {word} lists cannot be read',
  function hide(this: OddHeartbeatSteps, id: string) {
    this.world.driver.worker(id).hasUnreadableRuns = true;
  },
);

When(
  'the runs that worker {word} lists can be read again',
  function show(this: OddHeartbeatSteps, id: string) {
    this.world.driver.worker(id).hasUnreadableRuns = false;
  },
);

When(
  'an occurrence that is due in {int} days is scheduled',
  function schedule(this: OddHeartbeatSteps, days: number) {
    this.timerClock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] });
    this.dueCount = 0;
    new OccurrenceTimers().schedule('j', days * MS_PER_DAY, () => {
      this.dueCount += 1;
    });
  },
);

When('{int} days pass for the occurrence', async function pass(this: OddHeartbeatSteps, days) {
  await this.timerClock!.tickAsync(days * MS_PER_DAY);
});

Then('the occurrence has been due {int} times', function check(this: OddHeartbeatSteps, count) {
  assert.equal(this.dueCount, count);
});
