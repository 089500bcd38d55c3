import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import { createEmptyConfig } from '@lagoongap/model/clusterConfig.js';
import type { Attempt, AttemptOutcome, WorkloadKind, WorkUnit } from '@lagoongap/model/workload.js';
import { BinaryHeap } from '@lagoongap/scheduling/binaryHeap.js';
import type { EndpointView, PreemptDecision, Scheduler } from '@lagoongap/scheduling/scheduler.js';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';

import { createFleet } from './policyFleet.js';
import type { WorkMix, WorkStream } from './policyMixes.js';

/** Waiting times of one kind of workload, in milliseconds. */
export interface WaitFigures {
  kind: WorkloadKind;
  /** Units with at least one placed task. */
  placed: number;
  /** Units without a placed task at the end of the run. */
  unplaced: number;
  p50: number;
  p99: number;
  /** Percentiles of the teams that submit no waves. */
  othersP50: number;
  othersP99: number;
}

/**
 * Faults injected into a run: `none`; `biased`: some endpoints fail, a worker is lost, and the
 * declared sizes of each team deviate from its usage by a factor of its own; `random`: the same,
 * but the declared sizes deviate independently for each task.
 */
export type FaultMode = 'none' | 'biased' | 'random';

/** Results of one run. */
export interface PolicyResult {
  waits: WaitFigures[];
  /** Ratio of reserved to total capacity of the workers in use, mean over time. */
  packing: number;
  /** Ratio of CPU usage to the CPU capacity of all workers, mean over time. */
  utilization: number;
  /** Difference between entitled and actual share of teams with waiting work, mean over time. */
  shortfall: number;
  /** Number of preempted attempts. */
  preempted: number;
  /** Share of samples in which the usage on a worker exceeded its size. */
  overused: number;
}

interface ScheduledEvent {
  atMs: number;
  run: () => void;
}

interface SimulatedTask {
  stream: WorkStream;
  remainingMs: number;
  /** Ratio of actual usage to declared size. */
  usageFactor: number;
}

interface RunningAttempt {
  attempt: Attempt;
  startedAtMs: number;
  isThrottled: boolean;
}

const DURATION_MS = 3_600_000;
const CYCLE_INTERVAL_MS = 200;
const SAMPLE_INTERVAL_MS = 10_000;
const REPORT_DELAY_MS = 2_000;
const CHECKPOINT_DURATION_MS = 1_000;
const FAILURE_DELAY_MS = 500;
const MAX_PLACEMENTS_PER_CYCLE = 256;
/** Consecutive failures after which an endpoint is ejected. */
const EJECTION_FAILURES = 5;
/** Duration of an ejection. */
const EJECTION_MS = 60_000;
/** Workers and runners that fail every attempt if faults are injected. */
const FAILING_ENDPOINTS = ['worker3', 'worker17', 'runner5'];
const LOST_WORKER = 'worker9';
/** Team that submits the waves. */
const WAVE_TEAM = 't0';
const LEASE_MS = 6_600;

/** Simulates one work mix with one scheduler in virtual time. */
export class PolicyRun {
  private readonly random = createSeededRandom(3);
  private readonly events = new BinaryHeap<ScheduledEvent>((a, b) => a.atMs - b.atMs);
  private readonly endpoints = new Map<string, EndpointView>();
  private readonly tasks = new Map<string, SimulatedTask>();
  private readonly units = new Map<string, WorkUnit>();
  private readonly running = new Map<string, RunningAttempt>();
  private readonly unplaced = new Map<string, WorkUnit>();
  private readonly waits = new Map<string, Histogram>();
  private readonly biases = new Map<string, number>();
  private readonly failures = new Map<string, number>();
  private readonly sums = { packing: 0, utilization: 0, shortfall: 0, overused: 0, samples: 0 };
  private preempted = 0;
  private nextId = 0;
  private nowMs = 0;

  constructor(
    private readonly scheduler: Scheduler,
    private readonly mix: WorkMix,
    private readonly faults: FaultMode,
  ) {}

  run(): PolicyResult {
    this.initialize();
    while (this.nowMs < DURATION_MS) {
      this.nowMs += CYCLE_INTERVAL_MS;
      while ((this.events.peek()?.atMs ?? Infinity) <= this.nowMs) this.events.pop()!.run();
      this.runCycle();
      if (this.nowMs % SAMPLE_INTERVAL_MS === 0) this.recordSample();
    }
    const { packing, utilization, shortfall, overused, samples } = this.sums;
    return {
      waits: [...new Set(this.mix.streams.map(({ kind }) => kind))].map((kind) =>
        this.summarizeWaits(kind),
      ),
      packing: packing / samples,
      utilization: utilization / samples,
      shortfall: shortfall / samples,
      preempted: this.preempted,
      overused: overused / samples,
    };
  }

  private initialize(): void {
    const config = createEmptyConfig();
    this.mix.shares.forEach((share, i) => {
      config.teams[`t${i}`] = { name: `t${i}`, share, limit: {} };
    });
    const works = this.mix.streams.map(({ work }) => work);
    config.endpointRules.all = { name: 'all', match: {}, works };
    this.scheduler.setConfiguration(config);
    for (const view of createFleet(this.mix, this.random)) {
      this.endpoints.set(view.id, view);
      this.scheduler.upsertEndpoint(view);
    }
    for (const stream of this.mix.streams) {
      this.scheduleArrival(stream);
      for (const atMs of [1_000, DURATION_MS / 2]) {
        this.scheduleAt(atMs, () => {
          for (let i = 0; i < stream.wave; i++) this.submit(stream, 0);
        });
      }
    }
    if (this.faults !== 'none') this.scheduleAt(DURATION_MS / 4, () => this.loseWorker());
  }

  private scheduleAt(atMs: number, run: () => void): void {
    this.events.push({ atMs, run });
  }

  private drawExponential(mean: number): number {
    return -Math.log(1 - this.random()) * mean;
  }

  private scheduleArrival(stream: WorkStream): void {
    this.scheduleAt(this.nowMs + this.drawExponential(1000 / stream.perSecond), () => {
      let rest = this.random();
      const team = this.mix.arrivals.findIndex((part) => {
        rest -= part;
        return rest < 0;
      });
      this.submit(stream, Math.max(0, team));
      this.scheduleArrival(stream);
    });
  }

  private submit(stream: WorkStream, team: number): void {
    this.nextId += 1;
    const [fewest, most] = stream.tasks;
    const count = fewest + Math.floor(this.random() * (most - fewest + 1));
    const size = stream.sizes[Math.floor(this.random() * stream.sizes.length)]!;
    const unit: WorkUnit = {
      id: `u${this.nextId}`,
      kind: stream.kind,
      team: `t${team}`,
      queue: stream.kind,
      work: stream.work,
      priority: stream.priority,
      size,
      indexes: Array.from({ length: count }, (_, i) => i),
      enqueuedAtMs: this.nowMs,
      excluded: [],
    };
    for (const index of unit.indexes) {
      const usageFactor = this.drawUsageFactor(unit);
      const remainingMs = this.drawExponential(stream.meanMs);
      this.tasks.set(`${unit.id}#${index}`, { stream, remainingMs, usageFactor });
    }
    this.units.set(unit.id, unit);
    this.unplaced.set(unit.id, unit);
    this.scheduler.enqueue(unit);
  }

  /**
   * Returns a ratio of actual usage to declared size. Declared sizes are mostly too large, and
   * sometimes too small.
   */
  private drawUsageFactor({ team, work }: WorkUnit): number {
    if (this.faults === 'none') return 1;
    const drawn = 0.2 + 1.1 * this.random();
    if (this.faults === 'random') return drawn;
    const key = `${team}|${work}`;
    const bias = this.biases.get(key) ?? drawn;
    this.biases.set(key, bias);
    return bias * (0.9 + 0.2 * this.random());
  }

  private runCycle(): void {
    for (const decision of this.scheduler.decide(this.nowMs, MAX_PLACEMENTS_PER_CYCLE)) {
      if (decision.type === 'preempt') this.preempt(decision);
      if (decision.type !== 'place') continue;
      const { unit, attempts } = decision;
      if (this.unplaced.delete(unit.id)) this.recordWait(unit);
      for (const attempt of attempts) this.startAttempt(attempt);
    }
  }

  private startAttempt(attempt: Attempt): void {
    const running = { attempt, startedAtMs: this.nowMs, isThrottled: false };
    this.running.set(attempt.id, running);
    const task = this.tasks.get(`${attempt.unitId}#${attempt.taskIndex}`)!;
    const { speed } = this.endpoints.get(attempt.endpointId)!;
    if (this.faults !== 'none' && FAILING_ENDPOINTS.includes(attempt.endpointId)) {
      this.scheduleAt(this.nowMs + FAILURE_DELAY_MS, () => this.endAttempt(attempt.id, 'failed'));
      return;
    }
    this.scheduleAt(this.nowMs + task.remainingMs / speed, () =>
      this.endAttempt(attempt.id, 'succeeded'),
    );
    if (attempt.kind === 'request') return;
    this.scheduleAt(this.nowMs + REPORT_DELAY_MS, () => {
      if (!this.running.has(attempt.id)) return;
      this.scheduler.observe(attempt.id, this.readUsage(running), this.nowMs);
    });
  }

  private readUsage({ attempt, isThrottled }: RunningAttempt): Attempt['size'] {
    const { usageFactor } = this.tasks.get(`${attempt.unitId}#${attempt.taskIndex}`)!;
    const { cpuMillis, memoryMib, ...whole } = attempt.declared;
    const cpuFactor = usageFactor * (isThrottled ? 0.5 : 1);
    return { ...whole, cpuMillis: cpuMillis * cpuFactor, memoryMib: memoryMib * usageFactor };
  }

  private endAttempt(attemptId: string, outcome: AttemptOutcome): void {
    const found = this.running.get(attemptId);
    if (!found) return;
    const { attempt, startedAtMs } = found;
    this.running.delete(attemptId);
    this.scheduler.release(attemptId, outcome, this.nowMs);
    const task = this.tasks.get(`${attempt.unitId}#${attempt.taskIndex}`)!;
    this.recordOutcome(attempt.endpointId, outcome === 'failed');
    if (outcome === 'succeeded') return;
    const { speed } = this.endpoints.get(attempt.endpointId)!;
    if (outcome === 'checkpointed') {
      const doneMs = (this.nowMs - startedAtMs) * speed;
      task.remainingMs = Math.max(1, task.remainingMs - doneMs);
    }
    const excluded = outcome === 'failed' ? [attempt.endpointId] : [];
    const unit = this.units.get(attempt.unitId)!;
    this.scheduler.enqueue({ ...unit, indexes: [attempt.taskIndex], excluded });
  }

  private recordOutcome(endpointId: string, isFailure: boolean): void {
    const count = isFailure ? (this.failures.get(endpointId) ?? 0) + 1 : 0;
    this.failures.set(endpointId, count);
    if (count < EJECTION_FAILURES) return;
    this.failures.set(endpointId, 0);
    const view = this.endpoints.get(endpointId)!;
    this.scheduler.upsertEndpoint({ ...view, ejected: true });
    this.scheduleAt(this.nowMs + EJECTION_MS, () => this.scheduler.upsertEndpoint(view));
  }

  private preempt({ attemptId, action }: PreemptDecision): void {
    const found = this.running.get(attemptId);
    if (!found) return;
    if (action === 'throttle') {
      found.isThrottled = true;
      this.scheduleAt(this.nowMs + REPORT_DELAY_MS, () => {
        this.scheduler.observe(attemptId, this.readUsage(found), this.nowMs);
      });
      return;
    }
    this.preempted += 1;
    const delayMs = action === 'checkpoint' ? CHECKPOINT_DURATION_MS : 0;
    const outcome = action === 'checkpoint' ? 'checkpointed' : 'stopped';
    this.scheduleAt(this.nowMs + delayMs, () => this.endAttempt(attemptId, outcome));
  }

  private loseWorker(): void {
    const view = this.endpoints.get(LOST_WORKER)!;
    this.scheduler.upsertEndpoint({ ...view, state: 'silent' });
    const lost = [...this.running.values()].filter(({ attempt }) => attempt.endpointId === view.id);
    this.scheduleAt(this.nowMs + LEASE_MS, () => {
      for (const { attempt } of lost) this.endAttempt(attempt.id, 'lost');
      this.scheduler.removeEndpoint(view.id);
    });
  }

  private recordWait(unit: WorkUnit): void {
    const waitedMs = Math.max(1, Math.round(this.nowMs - unit.enqueuedAtMs));
    this.getWaitHistogram(unit.kind).recordValue(waitedMs);
    if (unit.team !== WAVE_TEAM) this.getWaitHistogram(`${unit.kind} others`).recordValue(waitedMs);
  }

  private getWaitHistogram(key: string): Histogram {
    let histogram = this.waits.get(key);
    if (!histogram) {
      histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: DURATION_MS * 2 });
      this.waits.set(key, histogram);
    }
    return histogram;
  }

  private summarizeWaits(kind: WorkloadKind): WaitFigures {
    const all = this.getWaitHistogram(kind);
    const others = this.getWaitHistogram(`${kind} others`);
    const placed = all.totalCount;
    const unplaced = [...this.unplaced.values()].filter((unit) => unit.kind === kind);
    // Units that are still waiting at the end are counted with their waiting time so far.
    for (const unit of unplaced) this.recordWait(unit);
    return {
      kind,
      placed,
      unplaced: unplaced.length,
      p50: all.getValueAtPercentile(50),
      p99: all.getValueAtPercentile(99),
      othersP50: others.getValueAtPercentile(50),
      othersP99: others.getValueAtPercentile(99),
    };
  }

  private recordSample(): void {
    const workers = [...this.endpoints.values()].filter(({ kind }) => kind === 'worker');
    const total = workers.reduce((sum, { size }) => sum + size.cpuMillis, 0);
    const used = new Map<string, number>();
    const reserved = new Map<string, number>();
    for (const running of this.running.values()) {
      const { endpointId, team, size } = running.attempt;
      const usage = this.readUsage(running).cpuMillis;
      used.set(endpointId, (used.get(endpointId) ?? 0) + usage);
      reserved.set(team, (reserved.get(team) ?? 0) + size.cpuMillis);
    }
    let sum = 0;
    for (const usage of used.values()) sum += usage;
    const over = workers.filter(({ id, size }) => (used.get(id) ?? 0) > size.cpuMillis + 1).length;
    this.sums.samples += 1;
    this.sums.packing += this.scheduler.readStats().packing.cpuMillis;
    this.sums.utilization += sum / total;
    this.sums.overused += over / workers.length;
    this.sums.shortfall += this.measureShortfall(reserved, total);
  }

  private measureShortfall(reserved: Map<string, number>, total: number): number {
    const waiting = new Set<string>();
    for (const unit of this.unplaced.values()) if (unit.kind !== 'request') waiting.add(unit.team);
    const active = new Set([...waiting, ...reserved.keys()]);
    const getWeight = (team: string): number => this.mix.shares[Number(team.slice(1))]!;
    const weights = [...active].reduce((sum, team) => sum + getWeight(team), 0);
    let shortfall = 0;
    for (const team of waiting) {
      const entitled = getWeight(team) / weights;
      shortfall += Math.max(0, entitled - (reserved.get(team) ?? 0) / total);
    }
    return shortfall;
  }
}
