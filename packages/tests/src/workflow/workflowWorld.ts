import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { WorkflowMetrics } from '@lagoongap/telemetry/workflowMetrics.js';
import type { CellConfig } from '@lagoongap/workflow/cellConfig.js';
import type { CellLimits } from '@lagoongap/workflow/cellLimits.js';
import type { InstanceApi, MaintenanceOutcome } from '@lagoongap/workflow/instanceApi.js';
import type { JobResponse } from '@lagoongap/workflow/jobCalls.js';
import type { JobSpec, StepSpec } from '@lagoongap/workflow/jobSpec.js';
import type { ReadyStep } from '@lagoongap/workflow/readySteps.js';
import type { WorkflowFeatures } from '@lagoongap/workflow/workflowFeatures.js';
import type { EndpointRecord, JobRecord } from '@lagoongap/workflow/workflowRecords.js';
import { WorkflowSession } from '@lagoongap/workflow/workflowSession.js';
import { createJob, WorkflowState } from '@lagoongap/workflow/workflowState.js';
import {
  DEFAULT_WORKFLOW_TIMING,
  type WorkflowTiming,
} from '@lagoongap/workflow/workflowTiming.js';
import FakeTimers from '@sinonjs/fake-timers';

import { FakeDriver } from './fakeDriver.js';
import type { FakeWorker } from './fakeWorker.js';
import { AutoCommitLog } from './autoCommitLog.js';
import { RecordingLog } from './recordingLog.js';

/** Functions replaced by the fake clock; the others are left to the test runner. */
const CLOCK_FUNCTIONS = [
  'setTimeout',
  'clearTimeout',
  'setInterval',
  'clearInterval',
  'performance',
  'Date',
] as const;

const START_MS = 1_700_000_000_000;
const CORE_CPU_MILLIS = 1000;
const TICK_MS = 2;
const HEARTBEAT_MS = 1500;

/** Downtime of an instance during maintenance. */
const MAINTENANCE_MS = 2000;

/** Fields of a step that a scenario sets; the others have defaults. */
export type StepRow = Partial<StepSpec> & { cores?: number };

/** Creates a step with defaults. */
export function createStep({ cores = 1, ...fields }: StepRow): StepSpec {
  return {
    taskCount: 1,
    size: { ...NO_RESOURCES, cpuMillis: cores * CORE_CPU_MILLIS, memoryMib: 1 },
    estimateMs: 500,
    dependsOn: [],
    isCheckpointing: false,
    isGang: false,
    isRackLocal: false,
    requiredLabel: '',
    dataRack: '',
    maxPerEndpoint: 0,
    allowsCopies: false,
    isService: false,
    image: '',
    latencyTargetMs: 0,
    fillsIdleCapacity: false,
    maxUnavailable: 0,
    ...fields,
  };
}

/** Creates a step of a newly accepted job whose tasks are all waiting. */
export function createReadyStep(spec: StepSpec): ReadyStep {
  const job = createJob({
    type: 'submit',
    id: 'j',
    queue: 'q',
    organisation: 'o',
    maxAttempts: 1,
    acceptedMs: START_MS,
    spec: { payload: '', steps: [spec] },
  });
  const waiting = Array.from({ length: spec.taskCount }, (_, index) => index);
  return { name: 'j.0.0', job, occurrence: 0, step: 0, spec, waiting, dueMs: START_MS };
}

/** Workflow leader with workers in the same process, on a fake clock. */
export class WorkflowWorld implements AsyncDisposable, InstanceApi {
  readonly driver = new FakeDriver();
  readonly state = new WorkflowState();
  readonly clock = FakeTimers.install({ now: START_MS, toFake: [...CLOCK_FUNCTIONS] });
  readonly records = new Map<string, EndpointRecord>();
  readonly responses: JobResponse[] = [];
  readonly logger = new RecordingLog();
  readonly meter = new WorkflowMetrics();
  session: WorkflowSession;
  log: AutoCommitLog;
  private config: CellConfig;
  private sequence = 0;
  /** Drops the heartbeats of all workers. */
  losesHeartbeats = false;
  /** Instances whose maintenance has begun, in order. */
  readonly maintained: string[] = [];
  /** Number of maintenance requests whose responses are lost, the next ones first. */
  lostMaintenanceResponses = 0;
  /** Maximum number of instances that were down at the same time. */
  maxDown = 0;
  /** Maximum number of tasks of a job that were not at work when maintenance ended one that was. */
  maxAway = 0;
  private readonly down = new Set<string>();

  private onChecked: (() => void) | undefined;
  private readonly timing: WorkflowTiming;
  private readonly limits: CellLimits | undefined;
  /** Features of the next session; by default all. */
  features: WorkflowFeatures | undefined;
  /** Monotonic times at which the warm-ups of workers end. */
  readonly coldUntilMs = new Map<string, number>();

  constructor(
    config: Partial<CellConfig['queues'][number]> = {},
    timing: Partial<WorkflowTiming> = {},
    features?: WorkflowFeatures,
    limits?: CellLimits,
  ) {
    this.features = features;
    this.limits = limits;
    this.timing = { ...DEFAULT_WORKFLOW_TIMING, leaseMs: 5000, maxLeaseMs: 6000, ...timing };
    this.config = {
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
          ...config,
        },
      ],
      organisations: [{ name: 'o', keys: ['k'], weight: 1, limit: { ...NO_RESOURCES } }],
    };
    this.state.config = { version: 1, document: 'config' };
    this.log = new AutoCommitLog(this.state, 2);
    this.session = this.createSession();
    this.session.start();
  }

  /** Adds a queue to the configuration. */
  addQueue(name: string, fields: Partial<CellConfig['queues'][number]>): void {
    this.config.queues.push({
      ...this.config.queues[0]!,
      name,
      pathPrefix: `/${name}/`,
      ...fields,
    });
  }

  /** Changes the configuration of the first queue. */
  changeQueue(fields: Partial<CellConfig['queues'][number]>): void {
    const [queue, ...others] = this.config.queues;
    this.config = {
      ...this.config,
      version: this.config.version + 1,
      queues: [{ ...queue!, ...fields }, ...others],
    };
    this.state.config = { version: this.config.version, document: 'config' };
  }

  /** Sets the warm-up of the endpoints of the pool. */
  setWarmup(coldMs: number, coldStartsPerSecond: number): void {
    this.config.pools = [{ name: 'p', coldMs, coldStartsPerSecond }];
  }

  /** Limits the processor time of the organisation, in cores. */
  limitCores(cores: number): void {
    this.config.organisations[0]!.limit = { ...NO_RESOURCES, cpuMillis: cores * CORE_CPU_MILLIS };
  }

  /** Adds an organisation, with a limit on its processor time in cores; 0 for none. */
  addOrganisation(name: string, key = name, cores = 0): void {
    const limit = { ...NO_RESOURCES, cpuMillis: cores * CORE_CPU_MILLIS };
    this.config.organisations.push({ name, keys: [key], weight: 1, limit });
  }

  async addWorkers(
    count: number,
    cores: number,
    fields: Partial<EndpointRecord> = {},
  ): Promise<void> {
    for (let i = 1; i <= count; i += 1) {
      const id = `w${this.records.size + 1}`;
      this.driver.worker(id);
      this.records.set(id, {
        id,
        address: `${id}:1`,
        dataCentre: 'd',
        pool: 'p',
        instance: `m-${id}`,
        bornMs: 1,
        capacity: { ...NO_RESOURCES, cpuMillis: cores * CORE_CPU_MILLIS, memoryMib: 1000 },
        kind: 'a',
        rack: 'r1',
        labels: ['a', 'r1'],
        isDraining: false,
        ...fields,
      });
    }
    await this.sendHeartbeats();
    await this.advance(50);
  }

  /** Sends the heartbeats of all responsive workers. */
  async sendHeartbeats(): Promise<void> {
    if (this.losesHeartbeats) {
      await this.advance(TICK_MS);
      return;
    }
    this.sequence += 1;
    for (const endpoint of this.records.values()) {
      const { behaviour } = this.driver.worker(endpoint.id);
      if (behaviour === 'silent' || behaviour === 'crashed') continue;
      const { bornMs } = this.driver.worker(endpoint.id);
      const record = { ...endpoint, bornMs };
      const coldUntilMs = this.coldUntilMs.get(endpoint.id);
      const coldLeftMs = coldUntilMs && Math.max(0, coldUntilMs - performance.now());
      this.session.endpoints
        .heartbeat({ endpoint: record, sequence: this.sequence, coldLeftMs })
        .catch(() => undefined);
    }
    await this.advance(TICK_MS);
  }

  /** Changes the capacity that a worker reports, from its next heartbeat on. */
  setCores(id: string, cores: number): void {
    const record = this.records.get(id)!;
    const capacity = { ...record.capacity, cpuMillis: cores * CORE_CPU_MILLIS };
    this.records.set(id, { ...record, capacity });
    this.driver.worker(id).maxTasks = cores;
  }

  /** Delivers a heartbeat of another writer, which is like that of a worker but for some fields. */
  async deliverOddHeartbeat(
    id: string,
    fields: Partial<EndpointRecord>,
    { sequence = this.sequence + 1, clockMs }: { sequence?: number; clockMs?: number } = {},
  ): Promise<void> {
    const endpoint = { ...this.records.get(id)!, ...fields };
    this.session.endpoints.heartbeat({ endpoint, sequence, clockMs }).catch(() => undefined);
    await this.advance(TICK_MS);
  }

  /** Delivers a heartbeat of a worker that was sent before its latest one. */
  async deliverLateHeartbeat(id: string, fields: Partial<EndpointRecord>): Promise<void> {
    const endpoint = { ...this.records.get(id)!, ...fields };
    const sequence = this.sequence - 1;
    this.session.endpoints.heartbeat({ endpoint, sequence }).catch(() => undefined);
    await this.advance(TICK_MS);
  }

  async submit(
    id: string,
    steps: StepSpec[],
    fields: Partial<JobSpec> = {},
    queue = 'q',
    key = 'k',
  ): Promise<JobResponse> {
    const spec = { payload: id, steps, ...fields };
    return this.call({ operation: 'submit', spec }, id, key, queue);
  }

  async call(
    operation:
      { operation: 'submit'; spec: JobSpec } | { operation: 'read' } | { operation: 'cancel' },
    id: string,
    key: string | undefined = 'k',
    queue = 'q',
  ): Promise<JobResponse> {
    const path = `/${queue}/${id}`;
    const response = this.session.jobs.handle({ host: 'h', path, key, ...operation });
    await this.advance(TICK_MS);
    return response;
  }

  /** Advances the clock; workers send heartbeats at their interval. */
  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      await this.clock.tickAsync(TICK_MS);
      if (performance.now() % HEARTBEAT_MS < TICK_MS) await this.sendHeartbeats();
    }
  }

  /** Time that scheduling cycles have taken since {@link slowDownCycles}. */
  cycleTimeMs = 0;

  /** Makes every scheduling cycle take the given time, in which no timer fires. */
  slowDownCycles(ms: number): void {
    const { now } = performance;
    performance.now = () => now.call(performance) + this.cycleTimeMs;
    const { organisations } = this.config;
    // A cycle reads the weights of the organisations once.
    const readWeights: typeof organisations.map = (read) => {
      this.cycleTimeMs += ms;
      return [...organisations].map(read);
    };
    this.config.organisations = Object.assign([...organisations], { map: readWeights });
  }

  /** Fires all timers of a period late and at once, as after a blocked event loop. */
  async blockEventLoop(ms: number): Promise<void> {
    this.clock.jump(ms);
    await this.advance(TICK_MS);
  }

  /** Replaces the state by its snapshot in the given form, as a replica does that restarts. */
  async restoreState(convert: (snapshot: unknown) => unknown): Promise<void> {
    this.log.isLeadershipOver = true;
    await this.session[Symbol.asyncDispose]();
    this.state.restore(convert(structuredClone(this.state.snapshot())));
    await this.changeLeader();
  }

  /** Ends the leadership abruptly and starts the next one after a time without a leader. */
  async changeLeader(gapMs = 0, { isHeartbeatLost = false } = {}): Promise<void> {
    this.log.isLeadershipOver = true;
    await this.session[Symbol.asyncDispose]();
    const endMs = performance.now();
    await this.clock.tickAsync(gapMs);
    this.log = new AutoCommitLog(this.state, this.log.term + 1, endMs);
    this.session = this.createSession();
    this.session.start();
    if (!isHeartbeatLost) await this.sendHeartbeats();
  }

  /** Takes an instance down, once for a wave, for the duration of its maintenance. */
  async beginMaintenance({ instance }: { instance: string }): Promise<MaintenanceOutcome> {
    const isRepeated = this.maintained.includes(instance);
    this.maintained.push(instance);
    if (!isRepeated) this.takeDown(instance);
    if (this.lostMaintenanceResponses === 0) return 'begun';
    this.lostMaintenanceResponses -= 1;
    return 'unknown';
  }

  private takeDown(instance: string): void {
    const [id] = [...this.records].find(([, record]) => record.instance === instance)!;
    const worker = this.driver.worker(id);
    this.recordAway(worker);
    this.down.add(instance);
    this.maxDown = Math.max(this.maxDown, this.down.size);
    worker.restart();
    worker.behaviour = 'silent';
    setTimeout(() => {
      this.down.delete(instance);
      worker.behaviour = 'sound';
    }, MAINTENANCE_MS);
  }

  /** Counts the tasks that are not at work once a worker goes down, for each job that it ends. */
  private recordAway(worker: FakeWorker): void {
    const listTasks = (it: FakeWorker): Set<string> =>
      new Set(it.behaviour === 'silent' ? [] : it.listAtWork());
    const ended = listTasks(worker);
    for (const id of new Set([...ended].map((name) => name.split('.')[0]!))) {
      const [step] = this.job(id).spec.steps;
      const others = [...this.driver.workers.values()].filter((it) => it !== worker);
      const atWork = new Set(others.flatMap((it) => [...listTasks(it)]));
      const count = [...atWork].filter((name) => name.startsWith(`${id}.`)).length;
      this.maxAway = Math.max(this.maxAway, step!.taskCount - count);
    }
  }

  job(id: string): JobRecord {
    return this.state.jobs.get(id)!;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.session[Symbol.asyncDispose]();
    this.clock.uninstall();
  }

  /** Suspends the process directly after each check of validity. */
  suspendAfterChecks(ms: number): void {
    const { now } = performance;
    let suspendedMs = 0;
    performance.now = () => now.call(performance) + suspendedMs;
    this.onChecked = () => {
      suspendedMs += ms;
    };
  }

  private checkValidity(log: AutoCommitLog): boolean {
    const isValid = !log.isLeadershipOver && !log.hasLostMajority;
    if (isValid) this.driver.validAtMs = performance.now();
    this.onChecked?.();
    return isValid;
  }

  private createSession(): WorkflowSession {
    const { log } = this;
    return new WorkflowSession({
      log,
      state: this.state,
      driver: this.driver,
      instances: this,
      holder: 'leader',
      parseConfig: () => this.config,
      timing: this.timing,
      features: this.features,
      limits: this.limits,
      logger: this.logger,
      meter: this.meter,
      isValid: () => this.checkValidity(log),
    });
  }
}
