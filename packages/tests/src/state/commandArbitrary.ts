import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import type { AttemptOutcome, JobSpec } from '@lagoongap/model/workload.js';
import type { SingleCommand, StartedAttempt } from '@lagoongap/state/commands.js';
import fc from 'fast-check';

import { createSmallNote } from '../faults/smallNote.js';

const JOB_IDS = ['job-a', 'job-b'];
const KEYS = [undefined, 'key-1', 'key-2'];
const ENDPOINT_IDS = ['endpoint-1', 'endpoint-2'];
const OUTCOMES: AttemptOutcome[] = [
  'succeeded',
  'failed',
  'checkpointed',
  'stopped',
  'not-run',
  'lost',
];
const MAX_ATTEMPTS = 6;

const wallTime = fc.integer({ min: 1, max: 10 ** 9 });
const jobId = fc.constantFrom(...JOB_IDS);
const attemptId = fc.integer({ min: 1, max: MAX_ATTEMPTS }).map((n) => `attempt-${n}`);

const spec = fc.record({
  kind: fc.constantFrom<JobSpec['kind'][]>('service', 'batch', 'gang'),
  queue: fc.constant('queue-1'),
  work: fc.constant('work-1'),
  tasks: fc.integer({ min: 1, max: 3 }),
  size: fc.constant({ ...NO_RESOURCES, cpuMillis: 100 }),
  noRepeat: fc.boolean(),
});

const submit = fc.record({
  type: fc.constant('submit-jobs' as const),
  jobs: fc.array(
    fc.record({
      id: jobId,
      team: fc.constantFrom('team-1', 'team-2'),
      spec,
      priority: fc.constant(1),
      idempotencyKey: fc.constantFrom(...KEYS),
    }),
    { minLength: 1, maxLength: 2 },
  ),
  wallTime,
});

const startedAttempt: fc.Arbitrary<StartedAttempt> = fc
  .record({
    id: attemptId,
    unitId: fc.oneof(jobId, fc.constantFrom('request-a', 'request-b')),
    taskIndex: fc.integer({ min: 0, max: 2 }),
    endpointId: fc.constantFrom(...ENDPOINT_IDS),
    idempotencyKey: fc.constantFrom(...KEYS),
    noRepeat: fc.boolean(),
  })
  .map((fields) => ({
    ...fields,
    kind: fields.unitId.startsWith('request') ? 'request' : 'batch',
    team: 'team-1',
    queue: 'queue-1',
    work: 'work-1',
    priority: 1,
    size: NO_RESOURCES,
    declared: NO_RESOURCES,
  }));

const startAttempts = fc.record({
  type: fc.constant('start-attempts' as const),
  attempts: fc.array(startedAttempt, { minLength: 1, maxLength: 3 }),
  wallTime,
});

const finishAttempts = fc.record({
  type: fc.constant('finish-attempts' as const),
  finished: fc.array(
    fc.record({
      attempt: attemptId,
      outcome: fc.constantFrom(...OUTCOMES),
      final: fc.boolean(),
      crash: fc.option(
        fc.record({ endpoint: fc.constantFrom(...ENDPOINT_IDS), isSole: fc.boolean() }),
        { nil: undefined },
      ),
      hasWorked: fc.boolean(),
    }),
    { minLength: 1, maxLength: 3 },
  ),
  wallTime,
});

const withdrawCrashes = fc.record({
  type: fc.constant('withdraw-crashes' as const),
  attempts: fc.array(
    fc.record({
      id: attemptId,
      unitId: fc.constantFrom(...JOB_IDS, 'request-a', 'request-b'),
      kind: fc.constantFrom('batch' as const, 'request' as const),
      taskIndex: fc.integer({ min: 0, max: 2 }),
    }),
    { minLength: 1, maxLength: 2 },
  ),
});

const announceEndpoint = fc
  .record({
    id: fc.constantFrom(...ENDPOINT_IDS),
    session: fc.constantFrom('session-1', 'session-2'),
  })
  .map(({ id, session }) => ({
    type: 'announce-endpoint' as const,
    announcement: {
      id,
      kind: 'worker' as const,
      url: 'http://127.0.0.1:1',
      size: NO_RESOURCES,
      rack: 'rack-1',
      dataCentre: 'dc-1',
      works: ['work-1'],
      speed: 1,
      capabilities: [],
    },
    session,
  }));

const leaveEndpoint = fc.record({
  type: fc.constant('leave-endpoint' as const),
  id: fc.constantFrom(...ENDPOINT_IDS),
});

const cancel = fc.record({
  type: fc.constant('cancel-jobs' as const),
  jobs: fc.array(jobId, { minLength: 1, maxLength: 2 }),
  early: fc.option(
    fc.record({
      jobs: fc.array(jobId, { minLength: 1, maxLength: 2 }),
      scope: fc.constantFrom('any' as const, 'team' as const, 'open-queues' as const),
      team: fc.constantFrom('team-1', 'team-2'),
    }),
    { nil: undefined },
  ),
  wallTime,
});

const reject = fc.record({
  type: fc.constant('reject-jobs' as const),
  jobs: fc.array(
    fc.record({
      id: jobId,
      reason: fc.constantFrom('impossible' as const, 'deadline-exceeded' as const),
      message: fc.constant('reason'),
    }),
    { minLength: 1, maxLength: 1 },
  ),
  wallTime,
});

const applyNote = fc
  .record({
    number: fc.integer({ min: 2, max: 7 }),
    team: fc.constantFrom('north', 'south', 'east'),
  })
  .map(({ number, team }) => ({
    type: 'apply-note' as const,
    note: createSmallNote(number, team),
    contentHash: `hash-${number}-${team}`,
    by: 'operator-1',
    wallTime: number,
  }));

/** Commands that the leader may commit, over a few identifiers so that they conflict often. */
export const anyCommand: fc.Arbitrary<SingleCommand> = fc.oneof(
  submit,
  startAttempts,
  finishAttempts,
  withdrawCrashes,
  announceEndpoint,
  leaveEndpoint,
  cancel,
  reject,
  applyNote,
);
