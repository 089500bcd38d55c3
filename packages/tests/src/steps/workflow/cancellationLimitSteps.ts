import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import { DEFAULT_CELL_LIMITS } from '@lagoongap/workflow/cellLimits.js';
import { createCancellationTable } from '@lagoongap/workflow/earlyCancellation.js';
import type { JobResponse } from '@lagoongap/workflow/jobCalls.js';

import { WorkflowWorld } from '../../workflow/workflowWorld.js';

interface Steps {
  world: WorkflowWorld;
}

/** Shorter than by default, so that scenarios end soon. */
const RETENTION_MS = 4000;

const ENTRY_BYTES = createCancellationTable().estimateBytes({
  id: 'a',
  queue: 'q',
  organisation: 'o',
});

function cancel({ world }: Steps, id: string, key = 'k'): Promise<JobResponse> {
  return world.session.jobs.handle({ host: 'h', path: `/q/${id}`, key, operation: 'cancel' });
}

async function readRefusal(response: Promise<JobResponse>): Promise<RefusalError> {
  const err = await response.then(
    ({ type }) => new Error(`expected a refusal, got ${type}`),
    (refusal: unknown) => refusal,
  );
  if (err instanceof RefusalError) return err;
  throw err;
}

Given(
  'a workflow leader with room for {int} cancellations of unknown jobs by an organisation, {int} in all',
  function create(this: Steps, own: number, all: number) {
    this.world = new WorkflowWorld({}, { retentionMs: RETENTION_MS }, undefined, {
      ...DEFAULT_CELL_LIMITS,
      maxOrganisationCancellationBytes: own * ENTRY_BYTES,
      maxCancellationBytes: all * ENTRY_BYTES,
    });
  },
);

Given('a second organisation {string}', function add(this: Steps, name: string) {
  this.world.addOrganisation(name);
});

When('unknown jobs {string} are cancelled', async function cancelAll(this: Steps, ids: string) {
  for (const id of ids.split(' ')) assert.deepEqual(await cancel(this, id), { type: 'no-job' });
});

When(
  'unknown jobs {string} are cancelled at the same moment',
  async function cancelAll(this: Steps, ids: string) {
    this.world.log.heldType = 'cancel';
    const responses = ids.split(' ').map((id) => cancel(this, id));
    this.world.log.commitHeld();
    await Promise.allSettled(responses);
  },
);

When(
  'an unknown job with an id of {int} characters is cancelled',
  async function cancelLong(this: Steps, length: number) {
    assert.deepEqual(await cancel(this, 'a'.repeat(length)), { type: 'no-job' });
  },
);

Then(
  'the cancellation of job {string} by {string} returns {string}',
  async function check(this: Steps, id: string, key: string, type: string) {
    assert.deepEqual(await cancel(this, id, key), { type });
  },
);

Then(
  'the cancellation of job {string} by {string} is refused as not run with a time to retry',
  async function check(this: Steps, id: string, key: string) {
    const { refusal } = await readRefusal(cancel(this, id, key));
    assert.equal(refusal.type, 'over-limit');
    assert.equal(refusal.runState, 'not-run');
    assert.ok(refusal.retryAfterMs! > 0);
  },
);

Then(
  '{int} cancellation(s) of unknown jobs are/is recorded',
  function check(this: Steps, count: number) {
    assert.equal(this.world.state.cancellations.size, count);
  },
);

Then('job {string} is not {string}', async function check(this: Steps, id: string, state: string) {
  const response = await this.world.call({ operation: 'read' }, id);
  assert.equal(response.type, 'state');
  assert.notDeepEqual(response, { type: 'state', state });
});
