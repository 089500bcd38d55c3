import fc from 'fast-check';

import { createEmptyConfig } from '@lagoongap/model/clusterConfig.js';
import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import type { EndpointState } from '@lagoongap/model/endpoint.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { Attempt, AttemptOutcome, WorkloadKind } from '@lagoongap/model/workload.js';
import type { EndpointView } from '@lagoongap/scheduling/scheduler.js';

import type { SchedulerDriver } from './schedulerDriver.js';

/** One step of a random sequence, applied to the driver at the time of the run. */
export type SchedulerAction = (run: SchedulerRun) => void;

/** Maps random arguments to an action whose name appears in reported counterexamples. */
function define<T>(
  name: string,
  args: fc.Arbitrary<T>,
  act: (run: SchedulerRun, value: T) => void,
): fc.Arbitrary<SchedulerAction> {
  return args.map((value) => {
    const action = (run: SchedulerRun): void => act(run, value);
    const toText = (): string => `${name}(${JSON.stringify(value)})`;
    return Object.assign(action, { [fc.toStringMethod]: toText });
  });
}

/** State of one random sequence. */
export interface SchedulerRun {
  driver: SchedulerDriver;
  nowMs: number;
  nextId: number;
}

const WORKS = ['curves', 'index', 'preview'];
const TEAMS = ['ionia', 'arta', 'volos'];
const CORE = 1000;

function createSize(cores: number, gib: number, accelerators: number, slots: number): Resources {
  return { cpuMillis: cores * CORE, memoryMib: gib * 1024, accelerators, slots };
}

const endpointSize = fc.constantFrom(
  createSize(8, 16, 0, 4),
  createSize(16, 16, 2, 8),
  createSize(4, 32, 0, 0),
);

const taskSize = fc.constantFrom(
  createSize(1, 1, 0, 0),
  createSize(2, 8, 0, 0),
  createSize(6, 2, 0, 1),
  createSize(1, 1, 1, 0),
  createSize(0, 0, 0, 1),
  createSize(12, 12, 0, 0),
  createSize(64, 1, 0, 0),
);

/** Creates a configuration with one endpoint rule for the granted works and team limits. */
export function createConfig(
  limits: readonly ({ tasks?: number; cpuMillis?: number } | undefined)[],
  grantedWorks: readonly string[],
): ClusterConfig {
  const config = createEmptyConfig();
  TEAMS.forEach((name, i) => {
    config.teams[name] = { name, share: i + 1, limit: limits[i] ?? {} };
  });
  config.endpointRules.all = { name: 'all', match: {}, works: [...grantedWorks] };
  return config;
}

/** Creates an endpoint that offers all kinds of work and has all capabilities. */
export function createEndpoint(index: number, size: Resources): EndpointView {
  return {
    id: `e${index}`,
    kind: 'worker',
    url: '',
    size,
    rack: `r${index % 3}`,
    dataCentre: `d${index % 2}`,
    works: WORKS,
    speed: 1,
    capabilities: ['checkpoint', 'throttle', 'stop'],
    state: 'ready',
    ejected: false,
  };
}

const limit = fc.option(
  fc.record(
    { tasks: fc.nat(20), cpuMillis: fc.nat(30).map((cores) => cores * CORE) },
    { requiredKeys: [] },
  ),
  { nil: undefined },
);

const configure = define(
  'configure',
  fc.tuple(fc.tuple(limit, limit, limit), fc.subarray(WORKS, { minLength: 1 })),
  ({ driver }, [limits, works]) => driver.setConfiguration(createConfig(limits, works)),
);

const upsert = define(
  'upsert',
  fc.record({
    index: fc.nat(5),
    size: endpointSize,
    works: fc.subarray(WORKS, { minLength: 1 }),
    state: fc.constantFrom<EndpointState>('ready', 'ready', 'ready', 'leaving', 'silent'),
    ejected: fc.integer({ min: 0, max: 5 }).map((n) => n === 0),
  }),
  ({ driver }, { index, size, ...rest }) =>
    driver.upsertEndpoint({ ...createEndpoint(index, size), ...rest }),
);

const remove = define('remove', fc.nat(5), ({ driver }, index) =>
  driver.removeEndpoint(`e${index}`),
);

const enqueue = define(
  'enqueue',
  fc.record({
    kind: fc.constantFrom<WorkloadKind>('batch', 'batch', 'service', 'gang', 'request'),
    team: fc.constantFrom(...TEAMS),
    work: fc.constantFrom(...WORKS),
    size: taskSize,
    priority: fc.constantFrom(100, 100, 500, 950),
    tasks: fc.integer({ min: 1, max: 6 }),
    deadlineMs: fc.option(fc.nat(3000), { nil: undefined }),
    excluded: fc.subarray(['e0', 'e1'], { maxLength: 1 }),
    copies: fc.integer({ min: 1, max: 4 }),
  }),
  (run, { tasks, deadlineMs, copies, ...rest }) => {
    for (let i = 0; i < copies; i++) {
      run.nextId += 1;
      run.driver.enqueue({
        ...rest,
        id: `u${run.nextId}`,
        queue: rest.kind,
        indexes: Array.from({ length: rest.kind === 'request' ? 1 : tasks }, (_, k) => k),
        enqueuedAtMs: run.nowMs,
        deadlineAtMs: deadlineMs === undefined ? undefined : run.nowMs + deadlineMs,
      });
    }
  },
);

const cancel = define('cancel', fc.nat(30), ({ driver }, id) => driver.cancel(`u${id}`));

function pickAttempt({ driver }: SchedulerRun, index: number): Attempt | undefined {
  const active = [...driver.checker.active.values()];
  return active[index % Math.max(1, active.length)]?.attempt;
}

const release = define(
  'release',
  fc.tuple(
    fc.nat(1000),
    fc.constantFrom<AttemptOutcome>('succeeded', 'succeeded', 'failed', 'checkpointed', 'lost'),
  ),
  (run, [index, outcome]) => {
    const attempt = pickAttempt(run, index);
    if (!attempt) return;
    const isWaiting = run.driver.checker.waiting.has(attempt.unitId);
    // The task of an unsuccessful attempt is enqueued again before its reservation is freed.
    if (outcome !== 'succeeded' && attempt.kind !== 'gang' && !isWaiting) {
      const { unitId, taskIndex, declared, kind, team, queue, work, priority } = attempt;
      const again = { id: unitId, kind, team, queue, work, priority, indexes: [taskIndex] };
      run.driver.enqueue({ ...again, size: declared, enqueuedAtMs: run.nowMs, excluded: [] });
    }
    run.driver.release(attempt.id, outcome, run.nowMs);
  },
);

const observe = define(
  'observe',
  fc.tuple(fc.nat(1000), fc.double({ min: 0, max: 2.5, noNaN: true })),
  (run, [index, factor]) => {
    const attempt = pickAttempt(run, index);
    if (!attempt) return;
    const { declared } = attempt;
    const cpuMillis = declared.cpuMillis * factor;
    const memoryMib = declared.memoryMib * factor;
    run.driver.observe(attempt.id, { ...declared, cpuMillis, memoryMib }, run.nowMs);
  },
);

const decide = define(
  'decide',
  fc.tuple(fc.nat(4000), fc.integer({ min: 1, max: 12 })),
  (run, [elapsedMs, most]) => {
    run.nowMs += elapsedMs;
    run.driver.decide(run.nowMs, most);
  },
);

const restore = define(
  'restore',
  fc.record({ index: fc.nat(5), team: fc.constantFrom(...TEAMS), size: taskSize }),
  (run, { index, team, size }) => {
    run.nextId += 1;
    const unitId = `u${run.nextId}`;
    const attempt: Attempt = {
      id: `${unitId}.old`,
      unitId,
      kind: 'service',
      taskIndex: 0,
      team,
      queue: 'service',
      work: 'index',
      priority: 100,
      endpointId: `e${index}`,
      size,
      declared: size,
    };
    run.driver.restore(attempt, run.nowMs);
  },
);

/** Random sequences of all scheduler calls. */
export const schedulerActions = fc.array(
  fc.oneof(
    { weight: 1, arbitrary: configure },
    { weight: 3, arbitrary: upsert },
    { weight: 1, arbitrary: remove },
    { weight: 8, arbitrary: enqueue },
    { weight: 2, arbitrary: cancel },
    { weight: 8, arbitrary: release },
    { weight: 3, arbitrary: observe },
    { weight: 10, arbitrary: decide },
    { weight: 1, arbitrary: restore },
  ),
  { minLength: 5, maxLength: 120, size: 'max' },
);

/** Starts a run with three endpoints and every kind of work granted. */
export function startRun(driver: SchedulerDriver): SchedulerRun {
  driver.setConfiguration(createConfig([], WORKS));
  const size = createSize(16, 32, 2, 8);
  for (let i = 0; i < 3; i++) driver.upsertEndpoint(createEndpoint(i, size));
  return { driver, nowMs: 0, nextId: 0 };
}

/** Time within which all work must be placed or rejected while attempts end promptly. */
const DRAIN_MS = 300_000;

/** Completes all work; returns the units that were neither placed nor rejected in time. */
export function drainWaiting(run: SchedulerRun): string[] {
  const { driver } = run;
  driver.setConfiguration(createConfig([], WORKS));
  const size = createSize(16, 32, 2, 8);
  for (let i = 0; i < 6; i++) driver.upsertEndpoint(createEndpoint(i, size));
  const endMs = run.nowMs + DRAIN_MS;
  while (run.nowMs < endMs && driver.checker.waiting.size > 0) {
    run.nowMs += 500;
    driver.decide(run.nowMs, 64);
    for (const id of [...driver.checker.active.keys()]) {
      driver.release(id, 'succeeded', run.nowMs);
    }
  }
  return [...driver.checker.waiting.keys()];
}
