import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';

import type { CallWorld, ObservedCall } from '../../workflow/callWorld.js';

interface Steps {
  callWorld?: CallWorld;
  call: ObservedCall;
}

const READ_DEADLINE_MS = 500;
const SETTLE_MS = 20;

async function readJob({ callWorld }: Steps, id: string): Promise<[number?, string?]> {
  const states: (string | undefined)[] = [];
  const call = callWorld!.read(id, READ_DEADLINE_MS, states);
  await callWorld!.advance(SETTLE_MS);
  return [call.status, states[0]];
}

When(
  'another gateway cancels job {string} with a deadline of {int} ms',
  function cancel(this: Steps, id: string, deadlineMs: number) {
    this.callWorld!.forgetLeader();
    this.call = this.callWorld!.cancel(id, deadlineMs);
  },
);

When(
  'all replicas apply the cancellations of the previous release for {string} and {string}',
  function apply(this: Steps, known: string, unknown: string) {
    [known, unknown].forEach((id, index) => {
      const command = { type: 'cancel', id };
      this.callWorld!.state.apply({ index, term: 1, command });
    });
  },
);

Then('job {string} is stored as {string}', function check(this: Steps, id: string, status: string) {
  assert.equal(this.callWorld!.state.jobs.get(id)?.status, status);
});

Then('a caller reads job {string} as {string}', async function check(this: Steps, id, state) {
  assert.deepEqual(await readJob(this, id as string), [200, state]);
});

Then('a caller reads no job {string}', async function check(this: Steps, id: string) {
  assert.deepEqual(await readJob(this, id), [410, undefined]);
});
