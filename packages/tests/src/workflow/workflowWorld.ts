import { SILENT_LOG } from '@lagoongap/model/log.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { SILENT_METER } from '@lagoongap/telemetry/workflowMetrics.js';
import type { CellConfig } from '@lagoongap/workflow/cellConfig.js';
import type { InstanceApi } from '@lagoongap/workflow/instanceApi.js';
import type { JobAnswer } from '@lagoongap/workflow/jobCalls.js';
import type { JobSpec, StepSpec } from '@lagoongap/workflow/jobSpec.js';
import type { EndpointRecord, JobRecord } from '@lagoongap/workflow/workflowRecords.js';
import { WorkflowSession } from '@lagoongap/workflow/workflowSession.js';
import { WorkflowState } from '@lagoongap/workflow/workflowState.js';
import {
  DEFAULT_WORKFLOW_TIMING,
  type WorkflowTiming,
} from '@lagoongap/workflow/workflowTiming.js';
import FakeTimers from '@sinonjs/fake-timers';

import { FakeDriver } from './fakeDriver.js';
import { TermLog } from './termLog.js';

/** What the code under test uses; the test runner keeps the rest. */
const CLOCK_FUNCTIONS = [
  'setTimeout',
  'clearTimeout',
  'setInterval',
  'clearInterval',
  'performance',
  'Date',
] as const;

const START_MS = 1_700_000_000_000;
const CORE = 1000;
const TICK_MS = 2;
const HEARTBEAT_MS = 1500;

/** Time for which an instance is down for its maintenance. */
const MAINTENANCE_MS = 2000;

/** Fields of a step that a scenario sets; the others take defaults. */
export type StepRow = Partial<StepSpec> & { cores?: number };

/** Returns a step with defaults. */
export function createStep({ cores = 1, ...fields }: StepRow): StepSpec {
  return {
    taskCount: 1,
    size: { ...NO_RESOURCES, cpuMillis: cores * CORE, memoryMib: 1 },
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

/** A leader of workflows with workers in the same process, on a paused clock. */
export class WorkflowWorld implements AsyncDisposable, InstanceApi {
  readonly driver = new FakeDriver();
  readonly state = new WorkflowState();
  readonly clock = FakeTimers.install({ now: START_MS, toFake: [...CLOCK_FUNCTIONS] });
  readonly records = new Map<string, EndpointRecord>();
  readonly answers: JobAnswer[] = [];
  session: WorkflowSession;
  log: TermLog;
  private config: CellConfig;
  private sequence = 0;
  /** Heartbeats of workers do not reach the leader. */
  losesHeartbeats = false;
  /** Instances whose maintenance has begun, in order. */
  readonly maintained: string[] = [];
  /** Most instances that were down at once. */
  maxDown = 0;
  private readonly down = new Set<string>();

  private readonly timing: WorkflowTiming;

  constructor(
    config: Partial<CellConfig['queues'][number]> = {},
    timing: Partial<WorkflowTiming> = {},
  ) {
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
    this.log = new TermLog(this.state, 2);
    this.session = this.createSession();
    this.session.start();
  }

  /** Limits the processor time of the organisation, in cores. */
  limitCores(cores: number): void {
    this.config.organisations[0]!.limit = { ...NO_RESOURCES, cpuMillis: cores * CORE };
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
        capacity: { ...NO_RESOURCES, cpuMillis: cores * CORE, memoryMib: 1000 },
        kind: 'a',
        rack: 'r1',
        labels: ['a', 'r1'],
        isDraining: false,
        ...fields,
      });
    }
    await this.beat();
    await this.advance(50);
  }

  /** Lets all workers that are not silent report. */
  async beat(): Promise<void> {
    if (this.losesHeartbeats) {
      await this.advance(TICK_MS);
      return;
    }
    this.sequence += 1;
    for (const endpoint of this.records.values()) {
      if (this.driver.worker(endpoint.id).mood === 'silent') continue;
      const { bornMs } = this.driver.worker(endpoint.id);
      const record = { ...endpoint, bornMs };
      this.session.endpoints
        .heartbeat({ endpoint: record, sequence: this.sequence })
        .catch(() => undefined);
    }
    await this.advance(TICK_MS);
  }

  async submit(id: string, steps: StepSpec[], fields: Partial<JobSpec> = {}): Promise<JobAnswer> {
    return this.call({ operation: 'submit', spec: { payload: id, steps, ...fields } }, id);
  }

  async call(
    operation:
      { operation: 'submit'; spec: JobSpec } | { operation: 'read' } | { operation: 'cancel' },
    id: string,
    key: string | undefined = 'k',
  ): Promise<JobAnswer> {
    const answer = this.session.jobs.handle({ host: 'h', path: `/q/${id}`, key, ...operation });
    await this.advance(TICK_MS);
    return answer;
  }

  /** Lets time pass; workers report as usual. */
  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      await this.clock.tickAsync(TICK_MS);
      if (performance.now() % HEARTBEAT_MS < TICK_MS) await this.beat();
    }
  }

  /** Lets all timers of a time fire late and in one go, as in a process that stood still. */
  async standStill(ms: number): Promise<void> {
    this.clock.jump(ms);
    await this.advance(TICK_MS);
  }

  /** Ends the leadership without a word and begins the next one. */
  async changeLeader(): Promise<void> {
    this.log.isOver = true;
    await this.session[Symbol.asyncDispose]();
    this.log = new TermLog(this.state, this.log.term + 1);
    this.session = this.createSession();
    this.session.start();
    await this.beat();
  }

  /** Takes an instance down for the time of a maintenance. */
  async beginMaintenance({ instance }: { instance: string }): Promise<'begun'> {
    const [id] = [...this.records].find(([, record]) => record.instance === instance)!;
    const worker = this.driver.worker(id);
    this.maintained.push(instance);
    this.down.add(instance);
    this.maxDown = Math.max(this.maxDown, this.down.size);
    worker.rebear();
    worker.mood = 'silent';
    setTimeout(() => {
      this.down.delete(instance);
      worker.mood = 'sound';
    }, MAINTENANCE_MS);
    return 'begun';
  }

  job(id: string): JobRecord {
    return this.state.jobs.get(id)!;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.session[Symbol.asyncDispose]();
    this.clock.uninstall();
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
      logger: SILENT_LOG,
      meter: SILENT_METER,
      isValid: () => !log.isOver && !log.isStalled,
    });
  }
}
