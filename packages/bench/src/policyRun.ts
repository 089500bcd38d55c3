import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import { createEmptyConfig } from '@lagoongap/model/clusterConfig.js';
import type { Attempt, AttemptOutcome, WorkloadKind, WorkUnit } from '@lagoongap/model/workload.js';
import { BinaryHeap } from '@lagoongap/scheduling/binaryHeap.js';
import type { EndpointView, PreemptDecision, Scheduler } from '@lagoongap/scheduling/scheduler.js';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';

import { createFleet } from './policyFleet.js';
import type { WorkMix, WorkStream } from './policyMixes.js';

/** Waiting times of one kind, in milliseconds. */
export interface WaitFigures {
  kind: WorkloadKind;
  /** Units of which at least one task was placed. */
  placed: number;
  /** Units that had no task placed at the end. */
  unplaced: number;
  p50: number;
  p99: number;
  /** The same for the teams that submit no waves. */
  othersP50: number;
  othersP99: number;
}

/**
 * What goes wrong in a run: `none`; `biased`: some endpoints fail, a worker is
 * lost, and each team is off by its own factor in what it declares; `random`:
 * the same with sizes that are off independently for each task.
 */
export type FaultMode = 'none' | 'biased' | 'random';

/** What one run measured. */
export interface PolicyResult {
  waits: WaitFigures[];
  /** Reserved over capacity of the workers in use, mean over time. */
  packing: number;
  /** Processor time in use over that of all workers, mean over time. */
  utilization: number;
  /** Share that teams with waiting work lack of what they are entitled to, mean over time. */
  shortfall: number;
  /** Attempts that were preempted. */
  preempted: number;
  /** Part of the samples in which usage on a worker exceeded its size. */
  overused: number;
}

interface Event {
  atMs: number;
  act: () => void;
}

interface Task {
  stream: WorkStream;
  remainingMs: number;
  /** Actual usage over the declared size. */
  factor: number;
}

interface Running {
  attempt: Attempt;
  startedAtMs: number;
  isThrottled: boolean;
}

const DURATION_MS = 3_600_000;
const TURN_MS = 200;
const SAMPLE_MS = 10_000;
const REPORT_MS = 2_000;
const CHECKPOINT_MS = 1_000;
const FAILURE_MS = 500;
const MAX_PLACEMENTS = 256;
/** Consecutive failures after which an endpoint is ejected, and for how long. */
const EJECT_AFTER = 5;
const EJECT_MS = 60_000;
/** Workers and runners that fail everything they start while faults are present. */
const FAILING = ['worker3', 'worker17', 'runner5'];
const LOST_WORKER = 'worker9';
/** Team that submits the waves. */
const WAVE_TEAM = 't0';
const LEASE_MS = 6_600;

/** Runs one mix of work against one scheduler in virtual time. */
export class PolicyRun {
  private readonly random = createSeededRandom(3);
  private readonly events = new BinaryHeap<Event>((a, b) => a.atMs - b.atMs);
  private readonly endpoints = new Map<string, EndpointView>();
  private readonly tasks = new Map<string, Task>();
  private readonly units = new Map<string, WorkUnit>();
  private readonly running = new Map<string, Running>();
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
    this.start();
    while (this.nowMs < DURATION_MS) {
      this.nowMs += TURN_MS;
      while ((this.events.peek()?.atMs ?? Infinity) <= this.nowMs) this.events.pop()!.act();
      this.decide();
      if (this.nowMs % SAMPLE_MS === 0) this.sample();
    }
    const { packing, utilization, shortfall, overused, samples } = this.sums;
    return {
      waits: [...new Set(this.mix.streams.map(({ kind }) => kind))].map((kind) =>
        this.readWaits(kind),
      ),
      packing: packing / samples,
      utilization: utilization / samples,
      shortfall: shortfall / samples,
      preempted: this.preempted,
      overused: overused / samples,
    };
  }

  private start(): void {
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
        this.at(atMs, () => {
          for (let i = 0; i < stream.wave; i++) this.submit(stream, 0);
        });
      }
    }
    if (this.faults !== 'none') this.at(DURATION_MS / 4, () => this.loseWorker());
  }

  private at(atMs: number, act: () => void): void {
    this.events.push({ atMs, act });
  }

  private exponential(mean: number): number {
    return -Math.log(1 - this.random()) * mean;
  }

  private scheduleArrival(stream: WorkStream): void {
    this.at(this.nowMs + this.exponential(1000 / stream.perSecond), () => {
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
      const factor = this.drawFactor(unit);
      const remainingMs = this.exponential(stream.meanMs);
      this.tasks.set(`${unit.id}#${index}`, { stream, remainingMs, factor });
    }
    this.units.set(unit.id, unit);
    this.unplaced.set(unit.id, unit);
    this.scheduler.enqueue(unit);
  }

  /** Declared sizes are mostly too large, and sometimes too small. */
  private drawFactor({ team, work }: WorkUnit): number {
    if (this.faults === 'none') return 1;
    const drawn = 0.2 + 1.1 * this.random();
    if (this.faults === 'random') return drawn;
    const key = `${team}|${work}`;
    const bias = this.biases.get(key) ?? drawn;
    this.biases.set(key, bias);
    return bias * (0.9 + 0.2 * this.random());
  }

  private decide(): void {
    for (const decision of this.scheduler.decide(this.nowMs, MAX_PLACEMENTS)) {
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
    if (this.faults !== 'none' && FAILING.includes(attempt.endpointId)) {
      this.at(this.nowMs + FAILURE_MS, () => this.end(attempt.id, 'failed'));
      return;
    }
    this.at(this.nowMs + task.remainingMs / speed, () => this.end(attempt.id, 'succeeded'));
    if (attempt.kind === 'request') return;
    this.at(this.nowMs + REPORT_MS, () => {
      if (!this.running.has(attempt.id)) return;
      this.scheduler.observe(attempt.id, this.readUsage(running), this.nowMs);
    });
  }

  private readUsage({ attempt, isThrottled }: Running): Attempt['size'] {
    const { factor } = this.tasks.get(`${attempt.unitId}#${attempt.taskIndex}`)!;
    const { cpuMillis, memoryMib, ...whole } = attempt.declared;
    const cpuFactor = factor * (isThrottled ? 0.5 : 1);
    return { ...whole, cpuMillis: cpuMillis * cpuFactor, memoryMib: memoryMib * factor };
  }

  private end(attemptId: string, outcome: AttemptOutcome): void {
    const found = this.running.get(attemptId);
    if (!found) return;
    const { attempt, startedAtMs } = found;
    this.running.delete(attemptId);
    this.scheduler.release(attemptId, outcome, this.nowMs);
    const task = this.tasks.get(`${attempt.unitId}#${attempt.taskIndex}`)!;
    this.countFailure(attempt.endpointId, outcome === 'failed');
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

  private countFailure(endpointId: string, isFailure: boolean): void {
    const count = isFailure ? (this.failures.get(endpointId) ?? 0) + 1 : 0;
    this.failures.set(endpointId, count);
    if (count < EJECT_AFTER) return;
    this.failures.set(endpointId, 0);
    const view = this.endpoints.get(endpointId)!;
    this.scheduler.upsertEndpoint({ ...view, ejected: true });
    this.at(this.nowMs + EJECT_MS, () => this.scheduler.upsertEndpoint(view));
  }

  private preempt({ attemptId, action }: PreemptDecision): void {
    const found = this.running.get(attemptId);
    if (!found) return;
    if (action === 'throttle') {
      found.isThrottled = true;
      this.at(this.nowMs + REPORT_MS, () => {
        this.scheduler.observe(attemptId, this.readUsage(found), this.nowMs);
      });
      return;
    }
    this.preempted += 1;
    const delayMs = action === 'checkpoint' ? CHECKPOINT_MS : 0;
    const outcome = action === 'checkpoint' ? 'checkpointed' : 'stopped';
    this.at(this.nowMs + delayMs, () => this.end(attemptId, outcome));
  }

  private loseWorker(): void {
    const view = this.endpoints.get(LOST_WORKER)!;
    this.scheduler.upsertEndpoint({ ...view, state: 'silent' });
    const lost = [...this.running.values()].filter(({ attempt }) => attempt.endpointId === view.id);
    this.at(this.nowMs + LEASE_MS, () => {
      for (const { attempt } of lost) this.end(attempt.id, 'lost');
      this.scheduler.removeEndpoint(view.id);
    });
  }

  private recordWait(unit: WorkUnit): void {
    const waitedMs = Math.max(1, Math.round(this.nowMs - unit.enqueuedAtMs));
    this.openWaits(unit.kind).recordValue(waitedMs);
    if (unit.team !== WAVE_TEAM) this.openWaits(`${unit.kind} others`).recordValue(waitedMs);
  }

  private openWaits(key: string): Histogram {
    let histogram = this.waits.get(key);
    if (!histogram) {
      histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: DURATION_MS * 2 });
      this.waits.set(key, histogram);
    }
    return histogram;
  }

  private readWaits(kind: WorkloadKind): WaitFigures {
    const all = this.openWaits(kind);
    const others = this.openWaits(`${kind} others`);
    const placed = all.totalCount;
    const unplaced = [...this.unplaced.values()].filter((unit) => unit.kind === kind);
    // Whatever still waits at the end counts with the time it has waited so far.
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

  private sample(): void {
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
    const weigh = (team: string): number => this.mix.shares[Number(team.slice(1))]!;
    const weights = [...active].reduce((sum, team) => sum + weigh(team), 0);
    let shortfall = 0;
    for (const team of waiting) {
      const entitled = weigh(team) / weights;
      shortfall += Math.max(0, entitled - (reserved.get(team) ?? 0) / total);
    }
    return shortfall;
  }
}
