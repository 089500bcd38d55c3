import { build } from 'hdr-histogram-js';

import { createEmptyConfig } from '@lagoongap/model/clusterConfig.js';
import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { WorkUnit } from '@lagoongap/model/workload.js';
import type { EndpointView, Scheduler } from '@lagoongap/scheduling/scheduler.js';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';

/** Size of the simulated cluster. */
export interface ClusterScale {
  workers: number;
  teams: number;
  running: number;
}

/** Parameters of one measurement. */
export interface DecisionCase extends ClusterScale {
  /** `free`: workers have free capacity; `full`: they have none and 10,000 tasks are waiting. */
  load: 'free' | 'full';
  /** Maximum duration of the measurement, in milliseconds. */
  budgetMs: number;
}

/** Results of one measurement; times are in microseconds. */
export interface DecisionResult {
  placements: number;
  turns: number;
  /** Time from arrival to decision, including the wait for the scheduling cycle. */
  p50: number;
  p99: number;
  max: number;
  /** Time spent in enqueue, decide and release per placement. */
  costPerPlacement: number;
  /** Placements per second of scheduler time. */
  rate: number;
}

const PLACEMENTS_PER_SECOND = 5_000;
const ARRIVAL_INTERVAL_MS = 1000 / PLACEMENTS_PER_SECOND;
const CYCLE_INTERVAL_MS = 1;
const MAX_PLACEMENTS_PER_CYCLE = 256;
const MAX_CYCLES = 10_000;
/** Share of the time budget that serves as warm-up and is not reported. */
const WARM_UP_SHARE = 0.25;
/** Number of cycles after which the warm-up ends in any case. */
const WARM_UP_CYCLES = 1_000;
const BACKLOG_TASKS = 10_000;
/** One in five arrivals is a batch task, the others are requests. */
const BATCH_EVERY = 5;

const WORKER_SIZE: Resources = { cpuMillis: 32_000, memoryMib: 131_072, accelerators: 0, slots: 0 };
const RUNNER_SIZE: Resources = { cpuMillis: 0, memoryMib: 0, accelerators: 0, slots: 8 };
const REQUEST_SIZE: Resources = { cpuMillis: 0, memoryMib: 0, accelerators: 0, slots: 1 };
const TASK_SIZES: readonly Resources[] = [
  { cpuMillis: 1_000, memoryMib: 2_048, accelerators: 0, slots: 0 },
  { cpuMillis: 1_000, memoryMib: 4_096, accelerators: 0, slots: 0 },
  { cpuMillis: 500, memoryMib: 4_096, accelerators: 0, slots: 0 },
];
const DATA_CENTRES = ['a', 'b', 'c'];
const RACK_SIZE = 8;
/** Share of the runner slots in use. */
const SLOT_UTILIZATION = 0.8;

/** Measures one scheduler under a constant rate of arrivals and releases. */
export class DecisionRun {
  private readonly random = createSeededRandom(1);
  private readonly tasks: string[] = [];
  private readonly requests: string[] = [];
  private nextId = 0;
  private nowMs = 0;

  constructor(
    private readonly scheduler: Scheduler,
    private readonly options: DecisionCase,
  ) {}

  measure(): DecisionResult {
    this.fillCluster();
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    const startedAtMs = performance.now();
    let placements = 0;
    let busyMs = 0;
    let cycles = 0;
    let arrived = 0;
    // Cycles run on a virtual clock that advances by the measured duration of each cycle.
    let clockMs = this.nowMs;
    const originMs = clockMs;
    let endMs = clockMs;
    while (cycles < MAX_CYCLES && performance.now() - startedAtMs < this.options.budgetMs) {
      clockMs = Math.max(endMs, clockMs + CYCLE_INTERVAL_MS);
      this.nowMs = clockMs;
      const arrivals: number[] = [];
      while (originMs + arrived * ARRIVAL_INTERVAL_MS <= clockMs) {
        arrivals.push(originMs + arrived * ARRIVAL_INTERVAL_MS);
        arrived += 1;
      }
      const beforeMs = performance.now();
      const placed = this.runCycle(arrivals);
      const spentMs = performance.now() - beforeMs;
      endMs = clockMs + spentMs;
      cycles += 1;
      const isWarmedUp = performance.now() - startedAtMs > WARM_UP_SHARE * this.options.budgetMs;
      if (cycles <= WARM_UP_CYCLES && !isWarmedUp) continue;
      for (const arrivedAtMs of placed) {
        histogram.recordValue(Math.max(1, Math.round((endMs - arrivedAtMs) * 1000)));
      }
      placements += placed.length;
      busyMs += spentMs;
    }
    return {
      placements,
      turns: cycles,
      p50: histogram.getValueAtPercentile(50),
      p99: histogram.getValueAtPercentile(99),
      max: histogram.maxValue,
      costPerPlacement: Number(((1000 * busyMs) / placements).toFixed(1)),
      rate: Math.round((1000 * placements) / busyMs),
    };
  }

  /**
   * Runs one scheduling cycle and returns the arrival times of the placed units. Backlog tasks
   * count as arriving with the cycle.
   */
  private runCycle(arrivals: readonly number[]): number[] {
    this.releaseSurplus();
    for (const arrivedAtMs of arrivals) {
      if (this.nextId % BATCH_EVERY === 0) this.enqueueTask(arrivedAtMs);
      else this.enqueueRequest(arrivedAtMs);
    }
    const placed: number[] = [];
    for (const decision of this.scheduler.decide(this.nowMs, MAX_PLACEMENTS_PER_CYCLE)) {
      if (decision.type !== 'place') continue;
      for (const { id, kind } of decision.attempts) {
        (kind === 'request' ? this.requests : this.tasks).push(id);
        const isBacklog = this.options.load === 'full' && kind !== 'request';
        placed.push(isBacklog ? this.nowMs : decision.unit.enqueuedAtMs);
      }
    }
    return placed;
  }

  private releaseSurplus(): void {
    const { workers, running } = this.options;
    while (this.requests.length > workers * RUNNER_SIZE.slots * SLOT_UTILIZATION) {
      this.scheduler.release(this.requests.shift()!, 'succeeded', this.nowMs);
    }
    // At full load one task ends in each cycle, which frees capacity for a waiting task.
    let surplus = this.options.load === 'full' ? 1 : this.tasks.length - running;
    for (; surplus > 0; surplus--) {
      const index = Math.floor(this.random() * this.tasks.length);
      const id = this.tasks[index]!;
      this.tasks[index] = this.tasks[this.tasks.length - 1]!;
      this.tasks.pop();
      this.scheduler.release(id, 'succeeded', this.nowMs);
    }
  }

  private fillCluster(): void {
    const { workers, running, load } = this.options;
    this.scheduler.setConfiguration(this.createConfig());
    for (let i = 0; i < workers; i++) {
      this.scheduler.upsertEndpoint(this.createEndpoint(i, 'worker'));
      this.scheduler.upsertEndpoint(this.createEndpoint(i, 'runner'));
    }
    const waiting = load === 'full' ? workers * 32 + BACKLOG_TASKS : running;
    for (let i = 0; i < waiting; i++) this.enqueueTask(0);
    for (const decision of this.scheduler.decide(this.nowMs, waiting)) {
      if (decision.type !== 'place') continue;
      for (const { id } of decision.attempts) this.tasks.push(id);
    }
  }

  private createConfig(): ClusterConfig {
    const config = createEmptyConfig();
    for (let i = 0; i < this.options.teams; i++) {
      config.teams[`t${i}`] = { name: `t${i}`, share: 1 + (i % 5), limit: {} };
    }
    const rules = { workers: 'worker', runners: 'runner' } as const;
    config.endpointRules = {
      workers: { name: 'workers', match: { kind: rules.workers }, works: ['curves', 'index'] },
      runners: { name: 'runners', match: { kind: rules.runners }, works: ['certificates'] },
    };
    return config;
  }

  private createEndpoint(index: number, kind: 'worker' | 'runner'): EndpointView {
    const isWorker = kind === 'worker';
    return {
      id: `${kind}${index}`,
      kind,
      url: '',
      size: isWorker ? WORKER_SIZE : RUNNER_SIZE,
      rack: `rack${Math.floor(index / RACK_SIZE)}`,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
      works: isWorker ? ['curves', 'index'] : ['certificates'],
      speed: 0.5 + this.random(),
      capabilities: [],
      state: 'ready',
      ejected: false,
    };
  }

  private enqueueTask(enqueuedAtMs: number): void {
    const size = TASK_SIZES[Math.floor(this.random() * TASK_SIZES.length)]!;
    const isService = this.random() < 0.2;
    const [kind, work] = isService
      ? (['service', 'index'] as const)
      : (['batch', 'curves'] as const);
    this.enqueue({ kind, work, size, queue: kind, priority: 100, enqueuedAtMs });
  }

  private enqueueRequest(enqueuedAtMs: number): void {
    const size = REQUEST_SIZE;
    const work = 'certificates';
    this.enqueue({ kind: 'request', work, size, queue: 'request', priority: 500, enqueuedAtMs });
  }

  private enqueue(unit: Omit<WorkUnit, 'id' | 'team' | 'indexes' | 'excluded'>): void {
    this.nextId += 1;
    const team = `t${Math.floor(this.random() * this.options.teams)}`;
    this.scheduler.enqueue({ ...unit, id: `u${this.nextId}`, team, indexes: [0], excluded: [] });
  }
}
