import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { maxResources, RESOURCE_NAMES } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { Attempt, AttemptOutcome, WorkloadKind, WorkUnit } from '@lagoongap/model/workload.js';

import type { RandomSource } from './attemptFactory.js';
import { BatchPolicy } from './batchPolicy.js';
import { CandidateSampler } from './candidateSampler.js';
import { ContentionPlanner } from './contentionPlanner.js';
import { EndpointCatalog } from './endpointCatalog.js';
import { EvictionTracker } from './evictionTracker.js';
import { FairShareTracker } from './fairShareTracker.js';
import { FeasibilityChecker } from './feasibilityChecker.js';
import { GangPolicy } from './gangPolicy.js';
import { HoldTable } from './holdTable.js';
import { LimitEnforcer } from './limitEnforcer.js';
import { OveruseGuard } from './overuseGuard.js';
import { measurePacking } from './packing.js';
import { PlacementLedger } from './placementLedger.js';
import type { LedgerEntry } from './placementLedger.js';
import type { PlacementPolicy } from './placementPolicy.js';
import { PlacementTurn } from './placementTurn.js';
import { PreemptionPlanner } from './preemptionPlanner.js';
import { RequestPolicy } from './requestPolicy.js';
import { ReservationPlanner } from './reservationPlanner.js';
import type {
  Decision,
  EndpointView,
  RejectDecision,
  Scheduler,
  SchedulerStats,
} from './scheduler.js';
import { DEFAULT_SCHEDULER_OPTIONS } from './schedulerOptions.js';
import type { SchedulerOptions } from './schedulerOptions.js';
import { ServicePolicy } from './servicePolicy.js';
import { ServiceTimeEstimator } from './serviceTimeEstimator.js';
import { SizeEstimator } from './sizeEstimator.js';
import { SpreadCounter } from './spreadCounter.js';
import { TaskPlacer } from './taskPlacer.js';
import { VictimSelector } from './victimSelector.js';
import { WaitingQueue } from './waitingQueue.js';
import type { WaitingEntry, WaitingShape } from './waitingShape.js';

/** Shapes that are checked in one turn for work that can never run; bounds the time of the turn. */
const MAX_CHECKS = 32;

/** Weight of a new outcome in the failure rate of an endpoint. */
const FAILURE_ALPHA = 0.2;

/** Reservation of a throttled attempt over its observed processor time. */
const THROTTLED_HEADROOM = 1.1;

/** Outcomes after which the peak of an attempt tells what such work needs. */
const LEARNED_OUTCOMES: readonly AttemptOutcome[] = ['succeeded', 'checkpointed', 'stopped'];

/**
 * Scheduler with priority classes, weighted fair shares, upper limits, learned
 * sizes, reservations and preemption, and one placement policy a workload kind.
 */
export class FairShareScheduler implements Scheduler {
  private readonly opts: SchedulerOptions;
  private readonly ledger: PlacementLedger;
  private readonly catalog: EndpointCatalog;
  private readonly queue = new WaitingQueue();
  private readonly holds: HoldTable;
  private readonly shares: FairShareTracker;
  private readonly sizes: SizeEstimator;
  private readonly serviceTimes = new ServiceTimeEstimator();
  private readonly spread = new SpreadCounter();
  private readonly evictions = new EvictionTracker();
  private readonly limits: LimitEnforcer;
  private readonly overuse: OveruseGuard;
  private readonly feasibility: FeasibilityChecker;
  private readonly reservations: ReservationPlanner;
  private readonly preemption: PreemptionPlanner;
  private readonly contention: ContentionPlanner;
  private readonly placer: TaskPlacer;
  private readonly turn: PlacementTurn;
  /** Shapes that have not been checked for work that can never run. */
  private readonly unchecked = new Set<WaitingShape>();
  private nextScanMs = -Infinity;
  private checkedFleetVersion = -1;

  /**
   * @param random - Source of random numbers; a seeded one makes decisions repeatable.
   */
  constructor(
    private readonly random: RandomSource,
    opts: Partial<SchedulerOptions> = {},
  ) {
    this.opts = { ...DEFAULT_SCHEDULER_OPTIONS, ...opts };
    this.ledger = new PlacementLedger((account) => this.catalog.refresh(account));
    this.catalog = new EndpointCatalog(this.ledger);
    const { ledger, catalog, evictions } = this;
    this.holds = new HoldTable(catalog);
    this.shares = new FairShareTracker(ledger, catalog.total, this.opts.halfLifeMs);
    this.sizes = new SizeEstimator(this.opts.sizes);
    this.limits = new LimitEnforcer(ledger, catalog, evictions, this.opts.preemptPauseMs);
    this.overuse = new OveruseGuard(ledger, catalog, this.opts.overusePauseMs);
    this.feasibility = new FeasibilityChecker(catalog, this.opts.graceMs);
    const { reservationMs, collectMs } = this.opts;
    this.reservations = new ReservationPlanner(
      ledger,
      catalog,
      this.holds,
      reservationMs,
      collectMs,
    );
    const selector = new VictimSelector(ledger, evictions);
    this.preemption = new PreemptionPlanner(
      catalog,
      this.holds,
      evictions,
      selector,
      random,
      this.opts,
    );
    this.placer = this.createPlacer();
    this.contention = this.createContentionPlanner();
    this.turn = this.createTurn();
  }

  upsertEndpoint(view: EndpointView): void {
    const isNew = this.catalog.find(view.id) === undefined;
    this.catalog.upsert(view);
    const account = this.ledger.findEndpoint(view.id)!;
    if (isNew) {
      for (const { attempt } of account.entries.values()) this.countService(attempt);
    }
    if (!this.catalog.find(view.id)?.pool) this.holds.dropEndpoint(view.id);
  }

  removeEndpoint(endpointId: string): void {
    this.holds.dropEndpoint(endpointId);
    this.catalog.remove(endpointId);
    this.serviceTimes.forget(endpointId);
  }

  setConfiguration(config: ClusterConfig): void {
    this.catalog.configure(config);
    this.shares.configure(config);
    this.feasibility.configure(config);
    for (const team of Object.values(config.teams)) {
      this.ledger.setLimit(team.name, team.limit);
      this.limits.mark(team.name);
    }
    for (const shape of this.queue.listShapes()) this.unchecked.add(shape);
    this.catalog.markAllFreed();
  }

  enqueue(unit: WorkUnit): void {
    const { shape } = this.queue.enqueue(unit);
    if (shape.size === 1) this.unchecked.add(shape);
  }

  cancel(unitId: string): boolean {
    const entry = this.queue.find(unitId);
    if (!entry) return false;
    this.queue.remove(entry);
    this.forgetUnit(unitId);
    return true;
  }

  countWaiting(queue: string): number {
    return this.queue.countWaiting(queue);
  }

  restore(attempt: Attempt, nowMs: number): void {
    this.ledger.adopt(attempt);
    this.countService(attempt);
    this.shares.update(attempt.team, nowMs);
    this.limits.mark(attempt.team);
  }

  release(attemptId: string, outcome: AttemptOutcome, nowMs: number): void {
    const entry = this.ledger.free(attemptId);
    if (!entry) return;
    const { attempt } = entry;
    this.evictions.finish(entry);
    this.spread.remove(attemptId);
    this.shares.update(attempt.team, nowMs);
    this.queue.resume(attempt.unitId);
    this.learn(entry, outcome, nowMs);
    const account = this.ledger.findEndpoint(attempt.endpointId);
    if (account) this.overuse.check(account, nowMs);
  }

  observe(attemptId: string, usage: Resources, nowMs: number): void {
    const before = this.ledger.findEntry(attemptId)?.peak;
    const entry = this.ledger.observe(attemptId, usage);
    if (!entry || !before) return;
    const { attempt } = entry;
    this.learnGrowth(entry, before);
    if (this.evictions.isThrottled(attemptId)) this.shrinkThrottled(entry);
    this.evictions.refresh(entry);
    this.shares.update(attempt.team, nowMs);
    this.limits.mark(attempt.team);
    this.overuse.check(this.ledger.findEndpoint(attempt.endpointId)!, nowMs);
  }

  decide(nowMs: number, maxPlacements: number): Decision[] {
    const rejects = [...this.rejectExpired(nowMs), ...this.rejectImpossible(nowMs)];
    this.limits.enforce(nowMs);
    if (nowMs >= this.nextScanMs) {
      this.nextScanMs = nowMs + this.opts.scanIntervalMs;
      this.holds.expire(nowMs);
      this.contention.plan(nowMs);
    }
    const places = this.turn.run(nowMs, maxPlacements);
    if (this.turn.hasBlockedUrgent) this.contention.plan(nowMs);
    const preempts = [...this.evictions.collect(nowMs), ...this.overuse.collect(nowMs)];
    return [...rejects, ...places, ...preempts];
  }

  readStats(): SchedulerStats {
    const teamShares: Record<string, number> = {};
    for (const { name } of this.ledger.listTeams()) teamShares[name] = this.shares.readShare(name);
    return {
      waiting: this.queue.size,
      running: this.ledger.size,
      teamShares,
      waitingByQueue: this.queue.listCounts(),
      packing: measurePacking(this.ledger.listEndpoints()),
    };
  }

  private rejectExpired(nowMs: number): RejectDecision[] {
    const rejects: RejectDecision[] = [];
    for (;;) {
      const entry = this.queue.popExpired(nowMs);
      if (!entry) return rejects;
      const message = `unit ${entry.unit.id} was not placed before its deadline`;
      rejects.push(this.reject(entry, 'deadline-exceeded', message));
    }
  }

  /** Checks shapes that are new, or all that wait once the fleet counts as complete or changes. */
  private rejectImpossible(nowMs: number): RejectDecision[] {
    const isSettled = this.feasibility.isSettled(nowMs);
    if (isSettled && this.checkedFleetVersion !== this.catalog.fleetVersion) {
      this.checkedFleetVersion = this.catalog.fleetVersion;
      for (const shape of this.queue.listShapes()) this.unchecked.add(shape);
    }
    const rejects: RejectDecision[] = [];
    let checks = 0;
    for (const shape of this.unchecked) {
      checks += 1;
      if (checks > MAX_CHECKS) break;
      this.unchecked.delete(shape);
      const size = this.placer.readSize(shape);
      const message = shape.size > 0 && this.feasibility.explain(shape, size, nowMs);
      if (!message) continue;
      for (const entry of shape.listEntries()) {
        this.queue.remove(entry);
        rejects.push(this.reject(entry, 'impossible', message));
      }
    }
    return rejects;
  }

  private reject(
    entry: WaitingEntry,
    reason: RejectDecision['reason'],
    message: string,
  ): RejectDecision {
    this.forgetUnit(entry.unit.id);
    const indexes = [...entry.pending, ...entry.deferred].sort((a, b) => a - b);
    return { type: 'reject', unit: { ...entry.unit, indexes }, reason, message };
  }

  private forgetUnit(unitId: string): void {
    this.reservations.finish(unitId);
    this.preemption.cancel(unitId);
  }

  private countService(attempt: Attempt): void {
    const record = this.catalog.find(attempt.endpointId);
    if (attempt.kind !== 'service' || !record) return;
    this.spread.add(attempt.id, attempt.unitId, record.view);
  }

  private learn(entry: LedgerEntry, outcome: AttemptOutcome, nowMs: number): void {
    const { attempt, peak, placedAtMs } = entry;
    const record = this.catalog.find(attempt.endpointId);
    const isFailure = outcome === 'failed' || outcome === 'lost';
    if (record && (isFailure || outcome === 'succeeded')) {
      record.failureRate += FAILURE_ALPHA * ((isFailure ? 1 : 0) - record.failureRate);
    }
    const isObserved = RESOURCE_NAMES.some((name) => peak[name] > 0);
    if (isObserved && LEARNED_OUTCOMES.includes(outcome)) {
      this.sizes.learnPeak(attempt.team, attempt.work, peak, attempt.declared);
    }
    if (outcome !== 'succeeded' || placedAtMs === undefined) return;
    this.sizes.learnRunTime(attempt.team, attempt.work, nowMs - placedAtMs);
    if (record && attempt.kind === 'request') {
      this.serviceTimes.learn(record.view, attempt.work, nowMs - placedAtMs);
    }
  }

  /** Learns at once, not only at the end, when an attempt needs more than it was given. */
  private learnGrowth({ attempt, peak }: LedgerEntry, before: Resources): void {
    const hasGrown = RESOURCE_NAMES.some(
      (name) => peak[name] > before[name] && peak[name] > attempt.size[name],
    );
    if (hasGrown) this.sizes.learnPeak(attempt.team, attempt.work, peak, attempt.declared);
  }

  private shrinkThrottled({ attempt, reserved, observed }: LedgerEntry): void {
    const cpuMillis = Math.ceil(observed.cpuMillis * THROTTLED_HEADROOM);
    if (cpuMillis >= reserved.cpuMillis) return;
    this.ledger.shrink(attempt.id, maxResources(observed, { ...reserved, cpuMillis }));
  }

  private createPlacer(): TaskPlacer {
    const { catalog, random, opts } = this;
    const sampler = new CandidateSampler(random, opts.sampleSize, opts.scanSize);
    const policies: Record<WorkloadKind, PlacementPolicy> = {
      service: new ServicePolicy(catalog, sampler, this.spread),
      batch: new BatchPolicy(catalog, sampler),
      gang: new GangPolicy(catalog),
      request: new RequestPolicy(catalog, sampler, this.serviceTimes),
    };
    return new TaskPlacer(
      this.ledger,
      catalog,
      this.holds,
      policies,
      this.sizes,
      this.feasibility,
      this.spread,
      this.shares,
      random,
    );
  }

  private createContentionPlanner(): ContentionPlanner {
    return new ContentionPlanner(
      this.queue,
      this.ledger,
      this.catalog,
      this.holds,
      this.evictions,
      this.shares,
      this.placer,
      this.preemption,
      this.reservations,
      this.opts,
    );
  }

  private createTurn(): PlacementTurn {
    return new PlacementTurn(
      this.queue,
      this.catalog,
      this.holds,
      this.shares,
      this.placer,
      ({ unit }) => this.forgetUnit(unit.id),
      this.opts,
    );
  }
}
