import assert from 'node:assert/strict';

import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { PlatformError } from '@lagoongap/platform/platformError.js';
import {
  EvacuationState,
  type EvacuationCommand,
  type EvacuationResult,
} from '@lagoongap/model/evacuationState.js';

import type { CallWorld, ObservedCall } from '../../workflow/callWorld.js';
import type { WorkflowWorld } from '../../workflow/workflowWorld.js';

interface Steps {
  world: WorkflowWorld;
  callWorld?: CallWorld;
  call: ObservedCall;
  /** Number of runs that each worker of a data centre had started when it was evacuated. */
  startedBefore: Map<string, number>;
  evacuations: EvacuationState;
}

const SETTLE_MS = 20;

function change(
  type: EvacuationCommand['type'],
  dataCentre: string,
  version: number,
): EvacuationCommand {
  return { type, dataCentre, version, acceptedMs: 1 };
}

function listWorkers({ world }: Steps, dataCentre: string): string[] {
  const records = [...world.records.values()].filter((it) => it.dataCentre === dataCentre);
  return records.map(({ id }) => id);
}

function recordStarts(steps: Steps, dataCentre: string): void {
  const count = (id: string): number => steps.world.driver.worker(id).started.length;
  steps.startedBefore = new Map(listWorkers(steps, dataCentre).map((id) => [id, count(id)]));
}

function countRunning(steps: Steps, dataCentre: string): number {
  const sizes = listWorkers(steps, dataCentre).map((id) => steps.world.driver.worker(id).runs.size);
  return sizes.reduce((sum, size) => sum + size, 0);
}

Given(
  '{int} workers of {int} cores in data centre {string}',
  async function add(this: Steps, count: number, cores: number, dataCentre: string) {
    await this.world.addWorkers(count, cores, { dataCentre });
  },
);

When(/^"(\w+)" is evacuated$/, async function begin(this: Steps, dataCentre: string) {
  const { evacuations } = this.world.session;
  const { version } = evacuations.read();
  const response = evacuations.begin({ dataCentre, version });
  await this.world.advance(SETTLE_MS);
  assert.deepEqual(await response, { type: 'accepted' });
  recordStarts(this, dataCentre);
});

When('the evacuation of {string} ends', async function end(this: Steps, dataCentre: string) {
  const { evacuations } = this.world.session;
  const { version } = evacuations.read();
  const response = evacuations.end({ dataCentre, version });
  await this.world.advance(SETTLE_MS);
  assert.deepEqual(await response, { type: 'accepted' });
});

When(
  'an evacuation of {string} is committed without the knowledge of the session',
  function commit(this: Steps, dataCentre: string) {
    const { version } = this.world.state.evacuations;
    const command = change('begin-evacuation', dataCentre, version);
    this.world.state.apply({ index: 0, term: this.world.log.term, command });
    recordStarts(this, dataCentre);
  },
);

When('the tasks of {string} need not be spread', function relax(this: Steps, id: string) {
  this.world.job(id).spec.steps[0]!.maxPerEndpoint = 0;
});

When(
  /^all replicas restart with (their snapshot|a snapshot of the release before)$/,
  async function restart(this: Steps, kind: string) {
    await this.world.restoreState((snapshot) => {
      const { evacuations, ...others } = JSON.parse(JSON.stringify(snapshot));
      return kind === 'their snapshot' ? { ...others, evacuations } : others;
    });
  },
);

Then(
  /^(at least )?(\d+) tasks are running in "(\w+)"$/,
  function check(this: Steps, isMinimum: string | undefined, count: string, dataCentre: string) {
    const running = countRunning(this, dataCentre);
    if (isMinimum) assert.ok(running >= Number(count), `${running} tasks`);
    else assert.equal(running, Number(count));
  },
);

Then(
  'nothing has started in {string} since its evacuation',
  function check(this: Steps, dataCentre: string) {
    for (const id of listWorkers(this, dataCentre)) {
      const { started } = this.world.driver.worker(id);
      assert.deepEqual(started.slice(this.startedBefore.get(id)), [], `worker ${id}`);
    }
  },
);

Then('{string} is not evacuated', function check(this: Steps, dataCentre: string) {
  assert.equal(this.world.state.evacuations.has(dataCentre), false);
});

Then('runs were lost as {string}', async function check(this: Steps, reason: string) {
  const text = await this.world.meter.registry.metrics();
  assert.match(text, new RegExp(`lagoongap_runs_lost_total\\{reason="${reason}"\\} [1-9]`));
});

Then(
  'the log explains a wait with {int} evacuated endpoints',
  function check(this: Steps, count: number) {
    const lines = this.world.logger.find('step is waiting');
    assert.ok(lines.length > 0);
    assert.deepEqual([...new Set(lines.map(({ fields }) => fields.evacuated))], [count]);
  },
);

Then(
  'the metrics show {int} evacuation and {int} evacuated endpoints',
  async function check(this: Steps, evacuations: number, endpoints: number) {
    const lines = (await this.world.meter.registry.metrics()).split('\n');
    assert.ok(lines.includes(`lagoongap_evacuations ${evacuations}`));
    assert.ok(lines.includes(`lagoongap_workflow_endpoints{state="evacuated"} ${endpoints}`));
  },
);

Given('no evacuations', function create(this: Steps) {
  this.evacuations = new EvacuationState();
});

Then('these changes of evacuations give', function check(this: Steps, table: DataTable) {
  const results = table.hashes().map((row) => {
    const type = row.change === 'begin' ? 'begin-evacuation' : 'end-evacuation';
    const command = change(type, row['data centre']!, Number(row.version));
    return { ...row, result: this.evacuations.apply(command) };
  });
  assert.deepEqual(results, table.hashes());
});

Then('{string} are evacuated', function check(this: Steps, names: string) {
  const listed = this.evacuations.list().map(({ dataCentre }) => dataCentre);
  assert.deepEqual(listed.sort(), names.split(' '));
});

When('{int} data centres are evacuated', function fill(this: Steps, count: number) {
  for (let i = 0; i < count; i += 1) {
    const command = change('begin-evacuation', `d${i}`, this.evacuations.version);
    assert.equal(this.evacuations.apply(command), 'accepted');
  }
});

Then('another evacuation is {string}', function check(this: Steps, result: EvacuationResult) {
  const { version } = this.evacuations;
  assert.equal(this.evacuations.apply(change('begin-evacuation', 'other', version)), result);
});

Then('the first evacuation is still accepted', function check(this: Steps) {
  const { version } = this.evacuations;
  assert.equal(this.evacuations.apply(change('begin-evacuation', 'd0', version)), 'accepted');
});

When('one evacuation ends', function end(this: Steps) {
  const { version } = this.evacuations;
  assert.equal(this.evacuations.apply(change('end-evacuation', 'd1', version)), 'accepted');
});

Then(
  'an outdated repetition of the forgotten one is {string}',
  function check(this: Steps, result: EvacuationResult) {
    const end = change('end-evacuation', 'd2', this.evacuations.version);
    assert.equal(this.evacuations.apply(end), 'accepted');
    assert.equal(this.evacuations.apply(change('begin-evacuation', 'd1', 1)), result);
  },
);

When(
  /^an operator (begins|ends) the evacuation of "(\w+)"$/,
  function call(this: Steps, operation: string, dataCentre: string) {
    const method = operation === 'begins' ? 'POST' : 'DELETE';
    this.call = this.callWorld!.callControl(method, `/-/evacuations/${dataCentre}`);
  },
);

When(
  'an operator begins the evacuation of path {string}',
  function begin(this: Steps, path: string) {
    const name = path === '300 x' ? 'x'.repeat(300) : path;
    this.call = this.callWorld!.callControl('POST', `/-/evacuations/${name}`);
  },
);

Then('the call is invalid: {string}', function check(this: Steps, reason: string) {
  assert.ok(this.call.error instanceof PlatformError, String(this.call.error));
  assert.ok(this.call.error.message.includes(`; ${reason}`), this.call.error.message);
});

Then('{string} is evacuated in the stored state', function check(this: Steps, names: string) {
  const listed = this.callWorld!.state.evacuations.list().map(({ dataCentre }) => dataCentre);
  assert.equal(listed.join(' '), names);
});
