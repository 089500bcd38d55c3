import { Backoff } from '@lagoongap/routing/backoff.js';
import { EjectingHealthPolicy } from '@lagoongap/routing/ejectingHealthPolicy.js';
import type { AttemptRef, HealthPolicy } from '@lagoongap/routing/healthPolicy.js';
import { NoHealthPolicy } from '@lagoongap/routing/noHealthPolicy.js';
import { PenalizingHealthPolicy } from '@lagoongap/routing/penalizingHealthPolicy.js';
import { RetryBudget } from '@lagoongap/routing/retryBudget.js';
import { createSeededRandom } from '@lagoongap/model/seededRandom.js';
import { build, type Histogram } from 'hdr-histogram-js';

import { VirtualClock } from './virtualClock.js';

/** Health policies that are compared. */
export const HEALTH_POLICY_NAMES = ['none', 'penalizing', 'ejecting'] as const;

/** Name of a compared health policy. */
export type HealthPolicyName = (typeof HEALTH_POLICY_NAMES)[number];

/** Settings of one measurement; all times in milliseconds of virtual time. */
export interface HealthBenchOptions {
  policy: HealthPolicyName;
  /** Number of runners that quickly fail every attempt. */
  failing: number;
  seed: number;
  runners: number;
  slots: number;
  /** Arrival rate as a share of the capacity of all runners if none failed. */
  load: number;
  /** Share of requests that fail on every runner. */
  alwaysFailingShare: number;
  durationMs: number;
  /**
   * Routing when only penalized runners have a free slot: `spill` uses one of them, `wait` waits
   * for another runner.
   */
  whenOnlyPenalized: 'spill' | 'wait';
}

/** Default options. */
export const DEFAULT_HEALTH_BENCH_OPTIONS: Readonly<
  Omit<HealthBenchOptions, 'policy' | 'failing'>
> = Object.freeze({
  seed: 1,
  runners: 30,
  slots: 8,
  load: 0.6,
  alwaysFailingShare: 0.01,
  durationMs: 300_000,
  whenOnlyPenalized: 'spill',
});

/** Results of one measurement; `requests` excludes requests that fail on every runner. */
export interface HealthBenchResult {
  policy: HealthPolicyName;
  failing: number;
  requests: number;
  /** Share of requests that succeeded. */
  successRate: number;
  /** Retries per request. */
  retries: number;
  /** Share of all attempts that went to failing runners. */
  failingShare: number;
  /** Time from arrival to the start of the attempt that succeeded. */
  waitP50Ms: number;
  waitP99Ms: number;
  /** Number of times that a healthy runner was ejected or penalized. */
  soundDemoted: number;
}

/** Mean run time of a request on a runner of speed 1. */
const MEAN_RUN_MS = 400;

/** Time until an attempt on a failing runner or of a request that always fails ends. */
const FAILURE_DELAY_MS = 5;

const DEADLINE_MS = 5000;
const MAX_ATTEMPTS = 4;

/** Time for in-flight and queued requests to finish after the last arrival. */
const DRAIN_DURATION_MS = 10_000;

interface SimulatedRunner {
  id: string;
  speed: number;
  fails: boolean;
  busy: number;
}

interface SimulatedRequest {
  id: string;
  alwaysFails: boolean;
  arrivedAtMs: number;
  attempts: number;
  excluded: Set<string>;
  backoff: Backoff;
}

function createPolicy(name: HealthPolicyName, random: () => number): HealthPolicy {
  if (name === 'ejecting') return new EjectingHealthPolicy({ random });
  return name === 'penalizing' ? new PenalizingHealthPolicy() : new NoHealthPolicy();
}

/** Simulates arrivals, least-loaded routing and retries with one health policy. */
class HealthRun {
  private readonly random: () => number;
  private readonly policy: HealthPolicy;
  private readonly budget = new RetryBudget();
  private readonly runners: SimulatedRunner[];
  private readonly queue: SimulatedRequest[] = [];
  private readonly waits: Histogram = build({ numberOfSignificantValueDigits: 3 });
  private readonly meanInterarrivalMs: number;
  private counts = { arrived: 0, valid: 0, succeeded: 0, retries: 0, attempts: 0, toFailing: 0 };
  private healthyDemotions = 0;

  constructor(private readonly opts: HealthBenchOptions) {
    this.random = createSeededRandom(opts.seed);
    this.policy = createPolicy(opts.policy, createSeededRandom(opts.seed + 1));
    this.runners = Array.from({ length: opts.runners }, (_, i) => ({
      id: `runner-${i}`,
      speed: 0.5 + 1.5 * this.random(),
      fails: i < opts.failing,
      busy: 0,
    }));
    const speed = this.runners.reduce((sum, runner) => sum + runner.speed, 0);
    this.meanInterarrivalMs = MEAN_RUN_MS / (opts.slots * speed * opts.load);
    for (const { id } of this.runners) this.policy.setEndpoint(id, ['echo']);
    this.policy.onChange(({ endpointId, ejected, penalized }) => {
      const runner = this.runners.find(({ id }) => id === endpointId)!;
      if (!runner.fails && (ejected || penalized)) this.healthyDemotions += 1;
      this.dispatchQueue();
    });
  }

  run(clock: VirtualClock): HealthBenchResult {
    this.scheduleArrival();
    clock.runUntil(this.opts.durationMs + DRAIN_DURATION_MS);
    this.policy[Symbol.dispose]();
    const { arrived, valid, succeeded, retries, attempts, toFailing } = this.counts;
    return {
      policy: this.opts.policy,
      failing: this.opts.failing,
      requests: valid,
      successRate: succeeded / valid,
      retries: retries / arrived,
      failingShare: toFailing / attempts,
      waitP50Ms: this.waits.getValueAtPercentile(50),
      waitP99Ms: this.waits.getValueAtPercentile(99),
      soundDemoted: this.healthyDemotions,
    };
  }

  private scheduleArrival(): void {
    const interarrivalMs = -Math.log(1 - this.random()) * this.meanInterarrivalMs;
    if (performance.now() + interarrivalMs > this.opts.durationMs) return;
    setTimeout(() => {
      this.addRequest();
      this.scheduleArrival();
    }, interarrivalMs);
  }

  private addRequest(): void {
    this.counts.arrived += 1;
    const alwaysFails = this.random() < this.opts.alwaysFailingShare;
    if (!alwaysFails) this.counts.valid += 1;
    this.budget.recordRequest();
    this.queue.push({
      id: `request-${this.counts.arrived}`,
      alwaysFails,
      arrivedAtMs: performance.now(),
      attempts: 0,
      excluded: new Set(),
      backoff: new Backoff({ random: this.random }),
    });
    this.dispatchQueue();
  }

  private dispatchQueue(): void {
    while (this.queue.length > 0) {
      const request = this.queue[0]!;
      const isLate = performance.now() - request.arrivedAtMs >= DEADLINE_MS;
      const runner = isLate ? undefined : this.chooseRunner(request);
      if (!isLate && runner === undefined) return;
      this.queue.shift();
      if (runner !== undefined) this.startAttempt(request, runner);
    }
  }

  /**
   * Returns the runner with the least expected delay among those with a free slot; penalized
   * runners are considered last.
   */
  private chooseRunner({ excluded }: SimulatedRequest): SimulatedRunner | undefined {
    const usable = this.runners.filter(({ id }) => !excluded.has(id) && !this.policy.isEjected(id));
    const healthy = usable.filter(({ id }) => !this.policy.isPenalized(id));
    const best = this.findLeastLoaded(healthy);
    if (best !== undefined) return best;
    if (this.opts.whenOnlyPenalized === 'wait' && healthy.length > 0) return undefined;
    return this.findLeastLoaded(usable);
  }

  private findLeastLoaded(runners: SimulatedRunner[]): SimulatedRunner | undefined {
    let best: SimulatedRunner | undefined;
    let bestCost = Infinity;
    for (const runner of runners) {
      if (runner.busy >= this.opts.slots) continue;
      const cost = (runner.busy + 1) / runner.speed + this.random() * 1e-6;
      if (cost < bestCost) {
        best = runner;
        bestCost = cost;
      }
    }
    return best;
  }

  private startAttempt(request: SimulatedRequest, runner: SimulatedRunner): void {
    this.counts.attempts += 1;
    if (runner.fails) this.counts.toFailing += 1;
    request.attempts += 1;
    runner.busy += 1;
    const attempt: AttemptRef = {
      attemptId: `${request.id}/${request.attempts}`,
      unitId: request.id,
      endpointId: runner.id,
    };
    this.policy.recordStart(attempt);
    const startedAtMs = performance.now();
    const fails = runner.fails || request.alwaysFails;
    const runMs = fails
      ? FAILURE_DELAY_MS
      : (-Math.log(1 - this.random()) * MEAN_RUN_MS) / runner.speed;
    setTimeout(() => {
      runner.busy -= 1;
      if (fails) {
        this.policy.recordFailure(attempt);
        this.retry(request, runner);
      } else {
        this.policy.recordSuccess(attempt);
        this.counts.succeeded += 1;
        this.waits.recordValue(Math.round(startedAtMs - request.arrivedAtMs));
      }
      this.dispatchQueue();
    }, runMs);
  }

  private retry(request: SimulatedRequest, runner: SimulatedRunner): void {
    request.excluded.add(runner.id);
    if (request.attempts >= MAX_ATTEMPTS || !this.budget.tryAcquire()) return;
    this.counts.retries += 1;
    setTimeout(() => {
      this.queue.push(request);
      this.dispatchQueue();
    }, request.backoff.nextDelayMs());
  }
}

/** Measures one health policy in virtual time. */
export function measureHealth(
  opts: Pick<HealthBenchOptions, 'policy' | 'failing'> & Partial<HealthBenchOptions>,
): HealthBenchResult {
  using clock = new VirtualClock();
  return new HealthRun({ ...DEFAULT_HEALTH_BENCH_OPTIONS, ...opts }).run(clock);
}
