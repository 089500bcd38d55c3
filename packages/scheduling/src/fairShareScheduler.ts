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
import { computePackingRatio } from './packingRatio.js';
import { PlacementLedger } from './placementLedger.js';
import type { LedgerEntry } from './placementLedger.js';
import type { PlacementPolicy } from './placementPolicy.js';
import { PlacementCycle } from './placementCycle.js';
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

/** Shapes checked for feasibility in one scheduling cycle; bounds the duration of the cycle. */
const MAX_FEASIBILITY_CHECKS = 32;

/** Weight of a new outcome in the moving average of the failure rate of an endpoint. */
const FAILURE_RATE_SMOOTHING = 0.2;

/** Reservation of a throttled attempt, as a multiple of its observed processor time. */
const THROTTLED_HEADROOM = 1.1;

/** Outcomes after which the peak usage of an attempt is a sample for the size estimate. */
const REPRESENTATIVE_OUTCOMES: readonly AttemptOutcome[] = ['succeeded', 'checkpointed', 'stopped'];

/**
 * Scheduler with priority classes, weighted fair shares, upper limits, estimated sizes,
 * reservations, preemption and one placement policy per workload kind.
 */
export class FairShareScheduler implements Scheduler {
  private readonly opts: SchedulerOptions;
  private readonly ledger: PlacementLedger;
  private readonly catalog: EndpointCatalog;
  private readonly queue = new WaitingQueue();
  private readonly holds: HoldTable;
  private readonly shares: FairShareTracker;
  private readonly sizeEstimator: SizeEstimator;
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
  private readonly placementCycle: PlacementCycle;
  /** Shapes whose feasibility has not been checked since they or the fleet changed. */
  private readonly uncheckedShapes = new Set<WaitingShape>();
  private nextContentionScanMs = -Infinity;
  private checkedFleetVersion = -1;

  /**
   * @param random - Source of random numbers; a seeded source makes decisions reproducible.
   */
  constructor(
    private readonly random: RandomSource,
    opts: Partial<SchedulerOptions> = {},
  ) {
    this.opts = { ...DEFAULT_SCHEDULER_OPTIONS, ...opts };
    this.ledger = new PlacementLedger((account) => this.catalog.updateAvailable(account));
    this.catalog = new EndpointCatalog(this.ledger);
    const { ledger, catalog, evictions } = this;
    this.holds = new HoldTable(catalog);
    this.shares = new FairShareTracker(ledger, catalog.total, this.opts.halfLifeMs);
    this.sizeEstimator = new SizeEstimator(this.opts.sizes);
    this.limits = new LimitEnforcer(ledger, catalog, evictions, this.opts.preemptStepIntervalMs);
    this.overuse = new OveruseGuard(ledger, catalog, this.opts.overuseStepIntervalMs);
    this.feasibility = new FeasibilityChecker(catalog, this.opts.graceMs);
    const { reservationHoldMs, maxReservationMs } = this.opts;
    this.reservations = new ReservationPlanner(
      ledger,
      catalog,
      this.holds,
      reservationHoldMs,
      maxReservationMs,
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
    this.placementCycle = this.createPlacementCycle();
  }

  upsertEndpoint(view: EndpointView): void {
    const isNew = this.catalog.find(view.id) === undefined;
    this.catalog.upsert(view);
    const account = this.ledger.findEndpoint(view.id)!;
    if (isNew) {
      for (const { attempt } of account.entries.values()) this.addToSpread(attempt);
    }
    if (!this.catalog.find(view.id)?.pool) this.holds.dropEndpoint(view.id);
  }

  removeEndpoint(endpointId: string): void {
    this.holds.dropEndpoint(endpointId);
    this.catalog.remove(endpointId);
    this.serviceTimes.removeEndpoint(endpointId);
  }

  setConfiguration(config: ClusterConfig): void {
    this.catalog.configure(config);
    this.shares.configure(config);
    this.feasibility.configure(config);
    for (const team of Object.values(config.teams)) {
      this.ledger.setLimit(team.name, team.limit);
      this.limits.requestCheck(team.name);
    }
    for (const shape of this.queue.listShapes()) this.uncheckedShapes.add(shape);
    this.catalog.recheckAllWaiting();
  }

  enqueue(unit: WorkUnit): void {
    const { shape } = this.queue.enqueue(unit);
    if (shape.size === 1) this.uncheckedShapes.add(shape);
  }

  cancel(unitId: string): boolean {
    const entry = this.queue.find(unitId);
    if (!entry) return false;
    this.queue.remove(entry);
    this.cancelCapacityClaims(unitId);
    return true;
  }

  countWaiting(queue: string): number {
    return this.queue.countWaiting(queue);
  }

  restore(attempt: Attempt, nowMs: number): void {
    this.ledger.adopt(attempt);
    this.addToSpread(attempt);
    this.shares.update(attempt.team, nowMs);
    this.limits.requestCheck(attempt.team);
  }

  release(attemptId: string, outcome: AttemptOutcome, nowMs: number): void {
    const entry = this.ledger.free(attemptId);
    if (!entry) return;
    const { attempt } = entry;
    this.evictions.finish(entry);
    this.spread.remove(attemptId);
    this.shares.update(attempt.team, nowMs);
    this.queue.resume(attempt.unitId);
    this.recordOutcome(entry, outcome, nowMs);
    const account = this.ledger.findEndpoint(attempt.endpointId);
    if (account) this.overuse.check(account, nowMs);
  }

  observe(attemptId: string, usage: Resources, nowMs: number): void {
    const before = this.ledger.findEntry(attemptId)?.peak;
    const entry = this.ledger.observe(attemptId, usage);
    if (!entry || !before) return;
    const { attempt } = entry;
    this.recordUsageGrowth(entry, before);
    if (this.evictions.isThrottled(attemptId)) this.shrinkThrottled(entry);
    this.evictions.updateReservation(entry);
    this.shares.update(attempt.team, nowMs);
    this.limits.requestCheck(attempt.team);
    this.overuse.check(this.ledger.findEndpoint(attempt.endpointId)!, nowMs);
  }

  decide(nowMs: number, maxPlacements: number): Decision[] {
    const rejects = [...this.rejectExpired(nowMs), ...this.rejectImpossible(nowMs)];
    this.limits.enforce(nowMs);
    if (nowMs >= this.nextContentionScanMs) {
      this.nextContentionScanMs = nowMs + this.opts.contentionScanIntervalMs;
      this.holds.expire(nowMs);
      this.contention.plan(nowMs);
    }
    const placements = this.placementCycle.run(nowMs, maxPlacements);
    if (this.placementCycle.hasBlockedUrgent) this.contention.plan(nowMs);
    const preempts = [...this.evictions.collectDue(nowMs), ...this.overuse.collectDue(nowMs)];
    return [...rejects, ...placements, ...preempts];
  }

  readStats(): SchedulerStats {
    const teamShares: Record<string, number> = {};
    for (const { name } of this.ledger.listTeams())
      teamShares[name] = this.shares.computeShare(name);
    return {
      waiting: this.queue.size,
      running: this.ledger.size,
      teamShares,
      waitingByQueue: this.queue.listCounts(),
      packing: computePackingRatio(this.ledger.listEndpoints()),
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

  /**
   * Rejects work that can never run. Checks new shapes, and all waiting shapes after the
   * grace period has ended or the fleet has changed.
   */
  private rejectImpossible(nowMs: number): RejectDecision[] {
    const isGracePeriodOver = this.feasibility.isGracePeriodOver(nowMs);
    if (isGracePeriodOver && this.checkedFleetVersion !== this.catalog.fleetVersion) {
      this.checkedFleetVersion = this.catalog.fleetVersion;
      for (const shape of this.queue.listShapes()) this.uncheckedShapes.add(shape);
    }
    const rejects: RejectDecision[] = [];
    let checks = 0;
    for (const shape of this.uncheckedShapes) {
      checks += 1;
      if (checks > MAX_FEASIBILITY_CHECKS) break;
      this.uncheckedShapes.delete(shape);
      const size = this.placer.estimateSize(shape);
      const message = shape.size > 0 && this.feasibility.explainInfeasibility(shape, size, nowMs);
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
    this.cancelCapacityClaims(entry.unit.id);
    const indexes = [...entry.pending, ...entry.deferred].sort((a, b) => a - b);
    return { type: 'reject', unit: { ...entry.unit, indexes }, reason, message };
  }

  private cancelCapacityClaims(unitId: string): void {
    this.reservations.end(unitId);
    this.preemption.cancel(unitId);
  }

  private addToSpread(attempt: Attempt): void {
    const record = this.catalog.find(attempt.endpointId);
    if (attempt.kind !== 'service' || !record) return;
    this.spread.add(attempt.id, attempt.unitId, record.view);
  }

  private recordOutcome(entry: LedgerEntry, outcome: AttemptOutcome, nowMs: number): void {
    const { attempt, peak, placedAtMs } = entry;
    const record = this.catalog.find(attempt.endpointId);
    const isFailure = outcome === 'failed' || outcome === 'lost';
    if (record && (isFailure || outcome === 'succeeded')) {
      record.failureRate += FAILURE_RATE_SMOOTHING * ((isFailure ? 1 : 0) - record.failureRate);
    }
    const isObserved = RESOURCE_NAMES.some((name) => peak[name] > 0);
    if (isObserved && REPRESENTATIVE_OUTCOMES.includes(outcome)) {
      this.sizeEstimator.recordPeak(attempt.team, attempt.work, peak, attempt.declared);
    }
    if (outcome !== 'succeeded' || placedAtMs === undefined) return;
    this.sizeEstimator.recordRunTime(attempt.team, attempt.work, nowMs - placedAtMs);
    if (record && attempt.kind === 'request') {
      this.serviceTimes.recordDuration(record.view, attempt.work, nowMs - placedAtMs);
    }
  }

  /** Records a peak above the reserved size when it is reported, not only at the end. */
  private recordUsageGrowth({ attempt, peak }: LedgerEntry, before: Resources): void {
    const hasGrown = RESOURCE_NAMES.some(
      (name) => peak[name] > before[name] && peak[name] > attempt.size[name],
    );
    if (hasGrown) this.sizeEstimator.recordPeak(attempt.team, attempt.work, peak, attempt.declared);
  }

  private shrinkThrottled({ attempt, reserved, observed }: LedgerEntry): void {
    const cpuMillis = Math.ceil(observed.cpuMillis * THROTTLED_HEADROOM);
    if (cpuMillis >= reserved.cpuMillis) return;
    this.ledger.shrink(attempt.id, maxResources(observed, { ...reserved, cpuMillis }));
  }

  private createPlacer(): TaskPlacer {
    const { catalog, random, opts } = this;
    const sampler = new CandidateSampler(random, opts.sampleSize, opts.fullScanThreshold);
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
      this.sizeEstimator,
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

  private createPlacementCycle(): PlacementCycle {
    return new PlacementCycle(
      this.queue,
      this.catalog,
      this.holds,
      this.shares,
      this.placer,
      ({ unit }) => this.cancelCapacityClaims(unit.id),
      this.opts,
    );
  }
}
