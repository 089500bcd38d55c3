import { build } from 'hdr-histogram-js';

import { createEmptyConfig } from '@lagoongap/model/clusterConfig.js';
import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { WorkUnit } from '@lagoongap/model/workload.js';
import type { EndpointView, Scheduler } from '@lagoongap/scheduling/scheduler.js';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';

/** Size of a cluster that decisions are measured on. */
export interface ClusterScale {
  workers: number;
  teams: number;
  running: number;
}

/** One measurement. */
export interface DecisionCase extends ClusterScale {
  /** `free` workers have room; `full` ones have none and 10,000 tasks wait for them. */
  load: 'free' | 'full';
  /** Longest time of the measurement, in milliseconds. */
  budgetMs: number;
}

/** What was measured; times are in microseconds. */
export interface DecisionResult {
  placements: number;
  turns: number;
  /** From arrival to decision, with the wait for the turn. */
  p50: number;
  p99: number;
  max: number;
  /** Time of enqueue, decide and release per placement. */
  costPerPlacement: number;
  /** Placements per second of processor time. */
  rate: number;
}

const PLACEMENTS_PER_SECOND = 5_000;
const ARRIVAL_MS = 1000 / PLACEMENTS_PER_SECOND;
const TURN_MS = 1;
const MAX_PLACEMENTS = 256;
const MAX_TURNS = 10_000;
/** Part of the time that is not reported. */
const WARM_UP = 0.25;
/** Turns after which the measurement starts in any case. */
const WARM_UP_TURNS = 1_000;
const BACKLOG = 10_000;
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
/** Part of the runner slots in use. */
const SLOT_USE = 0.8;

/** Drives one scheduler with a constant flow of arrivals and releases. */
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
    this.fill();
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    const startedAtMs = performance.now();
    let placements = 0;
    let busyMs = 0;
    let turns = 0;
    let arrived = 0;
    // Turns follow each other on a virtual clock that advances by the measured time.
    let clockMs = this.nowMs;
    const originMs = clockMs;
    let endMs = clockMs;
    while (turns < MAX_TURNS && performance.now() - startedAtMs < this.options.budgetMs) {
      clockMs = Math.max(endMs, clockMs + TURN_MS);
      this.nowMs = clockMs;
      const arrivals: number[] = [];
      while (originMs + arrived * ARRIVAL_MS <= clockMs) {
        arrivals.push(originMs + arrived * ARRIVAL_MS);
        arrived += 1;
      }
      const beforeMs = performance.now();
      const placed = this.takeTurn(arrivals);
      const spentMs = performance.now() - beforeMs;
      endMs = clockMs + spentMs;
      turns += 1;
      const isWarm = performance.now() - startedAtMs > WARM_UP * this.options.budgetMs;
      if (turns <= WARM_UP_TURNS && !isWarm) continue;
      for (const arrivedAtMs of placed) {
        histogram.recordValue(Math.max(1, Math.round((endMs - arrivedAtMs) * 1000)));
      }
      placements += placed.length;
      busyMs += spentMs;
    }
    return {
      placements,
      turns,
      p50: histogram.getValueAtPercentile(50),
      p99: histogram.getValueAtPercentile(99),
      max: histogram.maxValue,
      costPerPlacement: Number(((1000 * busyMs) / placements).toFixed(1)),
      rate: Math.round((1000 * placements) / busyMs),
    };
  }

  /** Returns the arrival times of what was placed; backlog counts as arriving with the turn. */
  private takeTurn(arrivals: readonly number[]): number[] {
    this.releaseSurplus();
    for (const arrivedAtMs of arrivals) {
      if (this.nextId % BATCH_EVERY === 0) this.enqueueTask(arrivedAtMs);
      else this.enqueueRequest(arrivedAtMs);
    }
    const placed: number[] = [];
    for (const decision of this.scheduler.decide(this.nowMs, MAX_PLACEMENTS)) {
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
    while (this.requests.length > workers * RUNNER_SIZE.slots * SLOT_USE) {
      this.scheduler.release(this.requests.shift()!, 'succeeded', this.nowMs);
    }
    // At full load one task ends each turn, which makes room for one that waits.
    let surplus = this.options.load === 'full' ? 1 : this.tasks.length - running;
    for (; surplus > 0; surplus--) {
      const index = Math.floor(this.random() * this.tasks.length);
      const id = this.tasks[index]!;
      this.tasks[index] = this.tasks[this.tasks.length - 1]!;
      this.tasks.pop();
      this.scheduler.release(id, 'succeeded', this.nowMs);
    }
  }

  private fill(): void {
    const { workers, running, load } = this.options;
    this.scheduler.setConfiguration(this.createConfig());
    for (let i = 0; i < workers; i++) {
      this.scheduler.upsertEndpoint(this.createEndpoint(i, 'worker'));
      this.scheduler.upsertEndpoint(this.createEndpoint(i, 'runner'));
    }
    const waiting = load === 'full' ? workers * 32 + BACKLOG : running;
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
