import { dominantShare, NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';
import { AgedSteps } from '@lagoongap/workflow/agedSteps.js';
import type { QueuePolicy } from '@lagoongap/workflow/cellConfig.js';
import { DurationEstimator } from '@lagoongap/workflow/durationEstimator.js';
import { DurationModel } from '@lagoongap/workflow/durationModel.js';
import type { ReadyStep } from '@lagoongap/workflow/readySteps.js';
import { createReservation, RunLedger } from '@lagoongap/workflow/runLedger.js';
import { assessSlack } from '@lagoongap/workflow/jobSlack.js';
import { stepName, type StepSpec } from '@lagoongap/workflow/jobSpec.js';
import { orderBySlack } from '@lagoongap/workflow/slackOrder.js';
import { ShareHistory, sumCapacity } from '@lagoongap/workflow/shareHistory.js';
import { toPatientFactor } from '@lagoongap/workflow/stepOrdering.js';
import { orderSteps } from '@lagoongap/workflow/stepOrder.js';
import {
  EndpointSelector,
  type PlacementCandidate,
  type PlacementPreference,
} from '@lagoongap/workflow/stepPlacer.js';
import type { JobRecord } from '@lagoongap/workflow/workflowRecords.js';
import { createJob } from '@lagoongap/workflow/workflowState.js';

import { createNormal } from './createNormal.js';
import { createStep } from './workflowWorld.js';

/** Work of one queue. */
export interface LoadClass {
  queue: string;
  priority: number;
  stretch: number;
  targetMs: number;
  jobsPerSecond: number;
  /** Mean number of steps, between 1 and 2, or exactly 2. */
  steps: number;
  tasks: number;
  workMs: number;
  cores: number;
  /** Deviation of the logarithm of the estimate. */
  estimateError: number;
  /** Part of the endpoints that may run a step. */
  suitable: number;
}

/** Load on a fleet, scaled down from a deployment. */
export interface LoadScenario {
  endpoints: number;
  cores: number;
  classes: LoadClass[];
  /** Part of the capacity that services take. */
  services: number;
  seconds: number;
  /** Factor of the arrivals between a third and two thirds of the time. */
  burst: number;
  /** Factor of the arrivals of the second organisation in that time. */
  flood: number;
  seed: number;
}

/** What is tried. */
export interface LoadPolicy {
  /** Learned durations and shares with a memory are used. */
  isLearned: boolean;
  /** Memory of the shares in milliseconds; 0 for none, by default that of the scheduler. */
  windowMs?: number;
  order?: typeof orderBySlack;
  /** Patient work prefers slow endpoints, and large tasks fill them up; by default so if learned. */
  hasPreference?: boolean;
}

/** Results of one queue, or of the organisations without the flood. */
export interface LoadResult {
  jobs: number;
  value: number;
  inTime: number;
  /** 95th percentile of the time to the first start in milliseconds. */
  firstStartMs: number;
  longestMs: number;
}

interface SimulatedJob {
  record: JobRecord;
  load: LoadClass;
  dueMs: number;
  workMs: number[];
  suitable: Set<string>[];
  left: number[];
  step: number;
  firstStartMs?: number;
  endMs?: number;
}

interface SimulatedRun {
  endMs: number;
  key: string;
  job: SimulatedJob;
  candidate: PlacementCandidate;
  durationMs: number;
}

/** Organisation that sends more than usual in a flood. */
export const FLOODING_ORGANISATION = '5';

const CYCLE_MS = 10;
const LATE_FACTOR = 3;
const ORGANISATIONS = 20;
const WORK_SPREAD = 0.5;
const ORGANISATION_SPREAD = 0.6;
const CORE_CPU_MILLIS = 1000;
const SPEEDS = [0.7, 0.9, 1.1, 1.3, 1.7];

function percentile(values: number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}

/** Runs a load through the order and the placement of the scheduler, on a simulated clock. */
export class LoadModel {
  readonly durations = new DurationModel();
  private readonly former = new DurationEstimator();
  private readonly shares: ShareHistory;
  private readonly aged = new AgedSteps();
  private readonly ledger = new RunLedger();
  private readonly candidates: PlacementCandidate[] = [];
  private readonly speeds = new Map<string, number>();
  private readonly queues: Map<string, QueuePolicy>;
  private readonly jobs: SimulatedJob[] = [];
  private readonly waiting = new Map<string, { step: ReadyStep; job: SimulatedJob }>();
  private readonly running: SimulatedRun[] = [];
  private readonly weights: number[] = [];
  private total: Resources = NO_RESOURCES;
  private readonly random: () => number;
  private readonly normal: () => number;
  private nowMs = 0;
  private readonly scenario: LoadScenario;
  private readonly policy: LoadPolicy;
  /** Time that ordering and placement have taken in milliseconds, and starts. */
  costMs = 0;
  starts = 0;

  constructor(scenario: LoadScenario, policy: LoadPolicy) {
    this.scenario = scenario;
    this.policy = policy;
    this.shares = new ShareHistory(policy.windowMs);
    this.random = createSeededRandom(scenario.seed);
    this.normal = createNormal(this.random);
    this.queues = new Map(
      scenario.classes.map((it) => [
        it.queue,
        {
          ...{ name: it.queue, host: 'h', pathPrefix: '/', pool: 'p', maxAttempts: 1 },
          ...{ priority: it.priority, stretch: it.stretch, targetMs: it.targetMs, isOpen: false },
        },
      ]),
    );
    for (let i = 0; i < ORGANISATIONS; i += 1) this.weights.push(i < 3 ? 4 : 1);
    this.createFleet();
    this.createJobs();
  }

  /** Runs the load to its end. */
  run(): void {
    const arrivals = [...this.jobs].sort((a, b) => a.dueMs - b.dueMs);
    let next = 0;
    const limitMs = this.scenario.seconds * 3000;
    while (
      (next < arrivals.length || this.running.length > 0 || this.waiting.size > 0) &&
      this.nowMs < limitMs
    ) {
      this.nowMs += CYCLE_MS;
      while (next < arrivals.length && arrivals[next]!.dueMs <= this.nowMs) {
        this.ready(arrivals[next]!);
        next += 1;
      }
      this.endRuns();
      const startMs = performance.now();
      this.cycle();
      this.costMs += performance.now() - startMs;
    }
  }

  /** Returns the result of a queue; without the jobs of the flooding organisation if there is one. */
  resultOf(queue: string, organisations?: (name: string) => boolean): LoadResult {
    const jobs = this.jobs.filter(
      ({ record, load }) => load.queue === queue && (organisations?.(record.organisation) ?? true),
    );
    const ratios = jobs.map((job) => {
      const targetMs = job.workMs.reduce((a, b) => a + b, 0) * job.load.stretch + job.load.targetMs;
      return ((job.endMs ?? Infinity) - job.dueMs) / targetMs;
    });
    const valueOf = (ratio: number): number =>
      Math.max(0, Math.min(1, (LATE_FACTOR - ratio) / (LATE_FACTOR - 1)));
    const starts = jobs.map(({ firstStartMs = Infinity, dueMs }) => firstStartMs - dueMs);
    return {
      jobs: jobs.length,
      value: ratios.reduce((sum, ratio) => sum + valueOf(ratio), 0) / jobs.length,
      inTime: ratios.filter((ratio) => ratio <= 1).length / jobs.length,
      firstStartMs: percentile(starts, 0.95),
      longestMs: Math.max(...jobs.map(({ endMs = Infinity, dueMs }) => endMs - dueMs)),
    };
  }

  private createFleet(): void {
    const { endpoints, cores, services } = this.scenario;
    for (let i = 0; i < endpoints; i += 1) {
      const size = cores * (0.5 + 1.5 * this.random() ** 1.6) * (1 - services);
      const cpuMillis = Math.round(size) * CORE_CPU_MILLIS;
      const capacity = { ...NO_RESOURCES, cpuMillis, memoryMib: 1_000_000 };
      const kind = `k${i % SPEEDS.length}`;
      const id = `w${i}`;
      this.speeds.set(id, (1 / SPEEDS[i % SPEEDS.length]!) * Math.exp(0.05 * this.normal()));
      this.candidates.push({
        ...{ id, kind, rack: 'r', labels: [], capacity, durationFactor: 1 },
        isLatencySensitive: false,
      });
    }
    this.total = sumCapacity(this.candidates.map(({ capacity }) => capacity));
  }

  private createJobs(): void {
    const { classes, seconds, burst, flood } = this.scenario;
    const shares = this.weights;
    const totalShare = shares.reduce((a, b) => a + b);
    classes.forEach((load) => {
      shares.forEach((share, organisation) => {
        const factor = Math.exp(ORGANISATION_SPREAD * this.normal() - ORGANISATION_SPREAD ** 2 / 2);
        let ms = 0;
        for (;;) {
          const isPeak = ms > seconds * 333 && ms < seconds * 667;
          const rate = (load.jobsPerSecond * share) / totalShare;
          const isFlood = `${organisation}` === FLOODING_ORGANISATION;
          const scale = isPeak ? burst * (isFlood ? flood : 1) : 1;
          ms += (-Math.log(1 - this.random()) * 1000) / (rate * scale);
          if (ms > seconds * 1000) break;
          this.createJob(load, organisation, factor, ms);
        }
      });
    });
  }

  private createJob(load: LoadClass, organisation: number, factor: number, dueMs: number): void {
    const count = this.random() < load.steps - 1 ? 2 : 1;
    const workMs = Array.from(
      { length: count },
      () => load.workMs * factor * Math.exp(WORK_SPREAD * this.normal() - WORK_SPREAD ** 2 / 2),
    );
    const steps = workMs.map((ms, index) =>
      createStep({
        taskCount: Math.max(1, Math.round(load.tasks * Math.exp(0.4 * this.normal() - 0.08))),
        cores: Math.max(0.5, load.cores * (0.6 + 0.8 * this.random())),
        estimateMs: ms * Math.exp(load.estimateError * this.normal()),
        dependsOn: index === 0 ? [] : [index - 1],
      }),
    );
    const record = createJob({
      ...{ type: 'submit', id: `j${this.jobs.length}`, queue: load.queue, maxAttempts: 1 },
      ...{ organisation: `${organisation}`, acceptedMs: dueMs, spec: { payload: '', steps } },
    });
    const suitable = steps.map(
      () =>
        new Set(this.candidates.filter(() => this.random() < load.suitable).map(({ id }) => id)),
    );
    const left = steps.map(({ taskCount }) => taskCount);
    this.jobs.push({ record, load, dueMs, workMs, suitable, left, step: 0 });
  }

  private ready(job: SimulatedJob): void {
    const { record, step, dueMs } = job;
    const spec = record.spec.steps[step]!;
    const waiting = Array.from({ length: spec.taskCount }, (_, index) => index);
    const name = stepName(record.id, 0, step);
    this.waiting.set(name, {
      job,
      step: { name, job: record, occurrence: 0, step, spec, waiting, dueMs },
    });
  }

  private endRuns(): void {
    for (let i = this.running.length - 1; i >= 0; i -= 1) {
      const run = this.running[i]!;
      if (run.endMs > this.nowMs) continue;
      this.running.splice(i, 1);
      this.ledger.release(run.key);
      const { job, candidate } = run;
      const { queue, organisation } = job.record;
      const spec = job.record.spec.steps[job.step]!;
      this.durations.record({ queue, organisation, spec }, candidate.kind, run.durationMs);
      this.former.record(candidate.id, candidate.kind, spec.estimateMs, run.durationMs);
      job.left[job.step]! -= 1;
      if (job.left[job.step] !== 0) continue;
      job.step += 1;
      if (job.step === job.workMs.length) job.endMs = this.nowMs;
      else this.ready(job);
    }
    this.ledger.discardReleases();
  }

  private cycle(): void {
    const { isLearned } = this.policy;
    for (const candidate of this.candidates) {
      candidate.durationFactor = isLearned
        ? this.durations.kindFactor(candidate.kind)
        : this.former.durationFactor(candidate.id, candidate.kind);
    }
    const ordered = isLearned ? this.orderLearned() : this.orderFormer();
    for (const step of ordered) this.place(step);
  }

  private listWaiting(): ReadyStep[] {
    return [...this.waiting.values()].map(({ step }) => step);
  }

  private orderFormer(): ReadyStep[] {
    return orderSteps(this.listWaiting(), {
      findQueue: (name) => this.queues.get(name),
      readUsage: (name) => this.ledger.usedBy(name).cpuMillis / this.weights[Number(name)]!,
      wallMs: this.nowMs,
    });
  }

  private orderLearned(): ReadyStep[] {
    const { order = orderBySlack, windowMs } = this.policy;
    const shares = this.weights.map((weight, name) => {
      const used = this.ledger.usedBy(`${name}`);
      const share =
        windowMs === 0
          ? dominantShare(used, this.total)
          : this.shares.update(`${name}`, used, this.total, this.nowMs);
      return share / weight;
    });
    const expectations = new Map<StepSpec, number>();
    return order(this.listWaiting(), {
      findQueue: (name) => this.queues.get(name),
      readUsage: (name) => shares[Number(name)]!,
      readWeight: (name) => this.weights[Number(name)]!,
      wallMs: this.nowMs,
      readDurationMs: ({ job }, index) => {
        const spec = job.spec.steps[index]!;
        const known = expectations.get(spec) ?? this.expect(job, index);
        expectations.set(spec, known);
        return known;
      },
      capacity: this.total,
      aged: this.aged,
      nowMs: this.nowMs,
    });
  }

  private expect({ queue, organisation, spec }: JobRecord, index: number): number {
    return this.durations.expect({ queue, organisation, spec: spec.steps[index]! }).medianMs;
  }

  private preferenceOf(step: ReadyStep): PlacementPreference | undefined {
    const { isLearned, hasPreference = true } = this.policy;
    if (!isLearned || !hasPreference) return undefined;
    const queue = this.queues.get(step.job.queue)!;
    const read = ({ job }: ReadyStep, index: number): number => this.expect(job, index);
    return { patientFactor: toPatientFactor(assessSlack(step, queue, this.nowMs, read)) };
  }

  private place(step: ReadyStep): void {
    const { ledger } = this;
    const { job } = this.waiting.get(step.name)!;
    const suitable = job.suitable[job.step]!;
    const usable = this.candidates.filter(({ id }) => suitable.has(id));
    const selector = new EndpointSelector(
      step.spec,
      usable,
      {
        fits: (it, { size }) => ledger.hasCapacity(it.id, it.capacity, size, false),
        countOn: ({ id }) => ledger.countRuns(step.name, id),
        failuresOn: () => 0,
        loadOf: ({ id, capacity }) => ledger.usedOn(id).cpuMillis / capacity.cpuMillis,
      },
      1,
      this.preferenceOf(step),
    );
    while (step.waiting.length > 0) {
      const candidate = selector.choose();
      if (!candidate) return;
      const index = step.waiting.shift()!;
      const key = `${step.name}.${index}`;
      const task = { jobId: job.record.id, occurrence: 0, step: step.step, index };
      ledger.reserve(createReservation(job.record, task, key, candidate.id));
      const durationMs =
        job.workMs[job.step]! * this.speeds.get(candidate.id)! * Math.exp(0.05 * this.normal());
      this.running.push({ endMs: this.nowMs + durationMs, key, job, candidate, durationMs });
      job.firstStartMs ??= this.nowMs;
      this.starts += 1;
      selector.refresh(candidate);
    }
    this.waiting.delete(step.name);
  }
}
