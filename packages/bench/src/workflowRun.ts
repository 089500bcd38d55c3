import { createSeededRandom } from '@lagoongap/model/seededRandom.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import { createLogger } from '@lagoongap/telemetry/createLogger.js';
import { WorkflowMetrics } from '@lagoongap/telemetry/workflowMetrics.js';
import type { AdviceReport } from '@lagoongap/workflow/adviceBroker.js';
import type { CellConfig, QueuePolicy } from '@lagoongap/workflow/cellConfig.js';
import type { JobSchedule, StepSpec } from '@lagoongap/workflow/jobSpec.js';
import { WorkflowSession } from '@lagoongap/workflow/workflowSession.js';
import { WorkflowState } from '@lagoongap/workflow/workflowState.js';
import { DEFAULT_WORKFLOW_TIMING } from '@lagoongap/workflow/workflowTiming.js';

import { BatchingLog } from './batchingLog.js';
import type { VirtualClock } from './virtualClock.js';
import { WorkflowFleet } from './workflowFleet.js';

/** Size and load of a cell; times in milliseconds. */
export interface WorkflowScale {
  endpoints: number;
  organisations: number;
  /** Instances that query the advisor, one call at a time each. */
  advisorClients: number;
  jobsPerSecond: number;
  services: number;
}

/** Cost of one phase on the leader. */
export interface WorkflowResult {
  phase: string;
  virtualSeconds: number;
  starts: number;
  ends: number;
  calls: number;
  inspections: number;
  heartbeats: number;
  logLines: number;
  cpuMs: number;
  cpuMicrosPerStart: number;
  /** Processor time of the leader per second of load, in cores. */
  cores: number;
  longestBlockMs: number;
  /** 99th percentile of the time from a submission to its response. */
  callP99Ms: number;
}

const HEARTBEAT_MS = 1500;
const COMMIT_MS = 10;

/** Latency of the advisor: fixed, and per endpoint in the query. */
const SHORT_ADVICE_MS = { fixed: 21, perEndpoint: 0.3 };
const LONG_ADVICE_MS = { fixed: 380, perEndpoint: 5.5 };
const TICKET_VALIDITY_MS = 2000;
const SUITABLE_SHARE = 0.7;
const MS_PER_SECOND = 1000;
const MS_PER_MINUTE = 60_000;
const SHORT_TASK_MS = 600;
const LONG_TASK_MS = 4000;
const SERVICE_TASK_MS = 3_600_000;

/** Share of jobs with long tasks. */
const LONG_JOB_SHARE = 0.1;

/** Share of short jobs with a second step. */
const SECOND_STEP_SHARE = 0.6;

function createStep(fields: Partial<StepSpec>, cpuMillis: number): StepSpec {
  return {
    taskCount: 10,
    size: { ...NO_RESOURCES, cpuMillis, memoryMib: 4000 },
    estimateMs: SHORT_TASK_MS,
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

function createQueue(name: string, priority: number, advice: typeof LONG_ADVICE_MS): QueuePolicy {
  return {
    name,
    host: 'h',
    pathPrefix: `/${name}/`,
    pool: 'p',
    priority,
    maxAttempts: 3,
    stretch: 2,
    targetMs: 500,
    isOpen: false,
    advice: {
      decideMs: advice.fixed,
      perEndpointMs: advice.perEndpoint,
      validMs: TICKET_VALIDITY_MS,
    },
  };
}

/** Drives a workflow session on a virtual clock, with endpoints, advisor and log in memory. */
export class WorkflowRun implements AsyncDisposable {
  private readonly scale: WorkflowScale;
  private readonly clock: VirtualClock;
  private readonly random = createSeededRandom(1);
  private readonly fleet = new WorkflowFleet();
  private readonly state = new WorkflowState();
  private readonly metrics = new WorkflowMetrics();
  private readonly config: CellConfig;
  private session: WorkflowSession;
  private term = 1;
  private isDisposed = false;
  private jobCount = 0;
  private heartbeatCount = 0;
  private logLineCount = 0;
  private longestBlockMs = 0;
  private callTimesMs: number[] = [];

  constructor(scale: WorkflowScale, clock: VirtualClock) {
    this.scale = scale;
    this.clock = clock;
    const names = Array.from({ length: scale.organisations }, (_, i) => `team-${i}`);
    this.config = {
      version: 1,
      queues: [
        createQueue('short', 0, SHORT_ADVICE_MS),
        createQueue('service', 1, LONG_ADVICE_MS),
        createQueue('long', 2, LONG_ADVICE_MS),
      ],
      organisations: names.map((name) => ({
        name,
        keys: [`key-${name}`],
        weight: 1,
        limit: { ...NO_RESOURCES },
      })),
    };
    this.state.config = { version: 1, document: 'config' };
    this.session = this.createSession();
  }

  /** Measures the phases one after the other. */
  async measure(): Promise<WorkflowResult[]> {
    await this.start();
    for (let i = 0; i < this.scale.services; i += 1) {
      const step = createStep({ taskCount: 20, isService: true, estimateMs: 0 }, 4000);
      this.submit('service', SERVICE_TASK_MS, [step]);
    }
    await this.advance(MS_PER_SECOND);
    return [
      await this.measurePhase('warm-up', 4, () => this.submitJobs(4)),
      await this.measurePhase('steady', 10, () => this.submitJobs(10)),
      await this.measurePhase('backlog', 5, () => {
        for (let i = 0; i < 200; i += 1) this.submitLong();
        this.submitJobs(5);
      }),
      await this.measurePhase('after take-over', 3, () => {
        this.replaceLeader();
        this.submitJobs(3);
      }),
    ];
  }

  /** Measures the usual load beside a job of which all occurrences are due. */
  async measureSchedule(count: number): Promise<WorkflowResult[]> {
    await this.start();
    const schedule = { firstMs: Date.now() - count * MS_PER_MINUTE, intervalMs: MS_PER_MINUTE };
    return [
      await this.measurePhase('without it', 4, () => this.submitJobs(4)),
      await this.measurePhase('beside it', 10, () => {
        const step = createStep({ taskCount: 1 }, 1000);
        this.submit('short', SHORT_TASK_MS, [step], { ...schedule, count });
        this.submitJobs(10);
      }),
      await this.measurePhase('after take-over', 3, () => {
        this.state.restore(structuredClone(this.state.snapshot()));
        this.replaceLeader();
        this.submitJobs(3);
      }),
    ];
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    await this.session[Symbol.asyncDispose]();
  }

  private async start(): Promise<void> {
    this.session.start();
    for (let i = 0; i < this.scale.endpoints; i += 1) this.startHeartbeats(i);
    for (let i = 0; i < this.scale.advisorClients; i += 1) this.pollAdvice(`instance-${i}`, []);
    await this.advance(2 * HEARTBEAT_MS);
  }

  private createSession(): WorkflowSession {
    this.term += 1;
    const stream = {
      write: () => {
        this.logLineCount += 1;
      },
    };
    return new WorkflowSession({
      log: new BatchingLog(this.state, this.term, COMMIT_MS),
      state: this.state,
      driver: this.fleet,
      instances: { beginMaintenance: () => Promise.resolve('begun') },
      holder: 'leader',
      parseConfig: () => this.config,
      timing: { ...DEFAULT_WORKFLOW_TIMING, heartbeatMs: HEARTBEAT_MS },
      logger: createLogger({ fields: { instance: 'leader' }, stream }),
      meter: this.metrics,
      isValid: () => true,
    });
  }

  private replaceLeader(): void {
    this.session[Symbol.asyncDispose]().catch(() => undefined);
    this.session = this.createSession();
    this.session.start();
  }

  private async measurePhase(
    phase: string,
    virtualSeconds: number,
    begin: () => void,
  ): Promise<WorkflowResult> {
    const { startCount, endCount, inspectionCount } = this.fleet;
    const { heartbeatCount, logLineCount } = this;
    this.longestBlockMs = 0;
    this.callTimesMs = [];
    const cpu = process.cpuUsage();
    begin();
    await this.advance(virtualSeconds * MS_PER_SECOND);
    const { user, system } = process.cpuUsage(cpu);
    const cpuMs = (user + system) / MS_PER_SECOND;
    const starts = this.fleet.startCount - startCount;
    const sorted = this.callTimesMs.sort((a, b) => a - b);
    return {
      phase,
      virtualSeconds,
      starts,
      ends: this.fleet.endCount - endCount,
      calls: sorted.length,
      inspections: this.fleet.inspectionCount - inspectionCount,
      heartbeats: this.heartbeatCount - heartbeatCount,
      logLines: this.logLineCount - logLineCount,
      cpuMs: Math.round(cpuMs),
      cpuMicrosPerStart: Math.round((cpuMs * MS_PER_SECOND) / starts),
      cores: cpuMs / (virtualSeconds * MS_PER_SECOND),
      longestBlockMs: this.longestBlockMs,
      callP99Ms: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
    };
  }

  private async advance(ms: number): Promise<void> {
    await this.clock.runAsyncUntil(performance.now() + ms, (durationMs) => {
      this.longestBlockMs = Math.max(this.longestBlockMs, durationMs);
    });
  }

  private startHeartbeats(index: number): void {
    const endpoint = {
      id: `worker-${index}`,
      address: `10.0.${index % 200}.${Math.floor(index / 200)}:80`,
      dataCentre: `dc-${index % 4}`,
      pool: 'p',
      instance: `instance-${index}`,
      bornMs: 1,
      capacity: { ...NO_RESOURCES, cpuMillis: 32_000, memoryMib: 65_536 },
      kind: index % 3 === 0 ? 'b' : 'a',
      rack: `rack-${index % 18}`,
      labels: ['a', `rack-${index % 18}`],
      isDraining: false,
    };
    let sequence = 0;
    const send = (): void => {
      if (this.isDisposed) return;
      sequence += 1;
      this.heartbeatCount += 1;
      const record = structuredClone(endpoint);
      this.session.endpoints.heartbeat({ endpoint: record, sequence }).catch(() => undefined);
      setTimeout(send, HEARTBEAT_MS);
    };
    setTimeout(send, this.random() * HEARTBEAT_MS);
  }

  private pollAdvice(instance: string, reports: AdviceReport[]): void {
    const answer = async (): Promise<void> => {
      if (this.isDisposed) return;
      const query = await this.session.broker.exchange(instance, reports, MS_PER_SECOND);
      if (!query) {
        setTimeout(() => this.pollAdvice(instance, []), 1);
        return;
      }
      const { id, step, endpoints } = query;
      const advice = step.startsWith('short') ? SHORT_ADVICE_MS : LONG_ADVICE_MS;
      const durationMs = advice.fixed + advice.perEndpoint * endpoints.length;
      setTimeout(() => {
        const good = endpoints
          .filter(() => this.random() < SUITABLE_SHARE)
          .map((endpoint) => ({ endpoint, ticket: `ticket-${id}-${endpoint}` }));
        this.pollAdvice(instance, [{ id, good, durationMs, validMs: TICKET_VALIDITY_MS }]);
      }, durationMs);
    };
    answer().catch(() => undefined);
  }

  private submitJobs(seconds: number): void {
    const count = seconds * this.scale.jobsPerSecond;
    for (let i = 0; i < count; i += 1) {
      const isLong = this.random() < LONG_JOB_SHARE;
      const submit = isLong ? () => this.submitLong() : () => this.submitShort();
      setTimeout(submit, (i * MS_PER_SECOND) / this.scale.jobsPerSecond);
    }
  }

  private submitShort(): void {
    const steps = [createStep({}, 4500)];
    if (this.random() < SECOND_STEP_SHARE) steps.push(createStep({ dependsOn: [0] }, 4500));
    this.submit('short', SHORT_TASK_MS, steps);
  }

  private submitLong(): void {
    const fields = { taskCount: 20, estimateMs: LONG_TASK_MS };
    this.submit('long', LONG_TASK_MS, [createStep(fields, 8000)]);
  }

  private submit(
    queue: string,
    durationMs: number,
    steps: StepSpec[],
    schedule?: JobSchedule,
  ): void {
    this.jobCount += 1;
    const { organisations } = this.config;
    const [key] = organisations[this.jobCount % organisations.length]!.keys;
    const path = `/${queue}/${queue}-${this.jobCount.toString(16).padStart(12, '0')}`;
    const spec = { payload: String(durationMs), steps, schedule };
    const startMs = performance.now();
    this.session.jobs.handle({ host: 'h', path, key, operation: 'submit', spec }).then(
      () => this.callTimesMs.push(performance.now() - startMs),
      () => undefined,
    );
  }
}
