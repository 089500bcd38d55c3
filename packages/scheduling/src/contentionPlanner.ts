import { URGENT_PRIORITY } from '@lagoongap/model/clusterConfig.js';

import type { EndpointCatalog } from './endpointCatalog.js';
import { Entitlements } from './entitlements.js';
import type { EvictionTracker } from './evictionTracker.js';
import type { FairShareTracker } from './fairShareTracker.js';
import type { HoldTable } from './holdTable.js';
import type { PlacementLedger } from './placementLedger.js';
import type { PreemptionPlanner } from './preemptionPlanner.js';
import type { ReservationPlanner } from './reservationPlanner.js';
import type { SchedulerOptions } from './schedulerOptions.js';
import type { TaskPlacer } from './taskPlacer.js';
import type { WaitingQueue } from './waitingQueue.js';
import type { WaitingShape } from './waitingShape.js';

/** Units of one shape for which preemption is planned in one planning pass. */
const MAX_UNITS_PER_SHAPE = 16;

/** Tasks of one unit, other than a gang, for which preemption is planned at once. */
const MAX_TASKS_PER_UNIT = 16;

/** Victim searches after which a planning pass starts no more; bounds its duration. */
const MAX_VICTIM_SEARCHES = 4;

/** Delay before an unsuccessful search for victims is repeated, in milliseconds. */
const SEARCH_BACKOFF_MS = 2_000;

/** The same delay for urgent work, in milliseconds. */
const URGENT_SEARCH_BACKOFF_MS = 200;

/**
 * Finds capacity for work that fits nowhere: preempts other work for urgent units and for
 * teams under their share, and reserves capacity for units that have waited too long.
 */
export class ContentionPlanner {
  private victimSearches = 0;

  constructor(
    private readonly queue: WaitingQueue,
    private readonly ledger: PlacementLedger,
    private readonly catalog: EndpointCatalog,
    private readonly holds: HoldTable,
    private readonly evictions: EvictionTracker,
    private readonly shares: FairShareTracker,
    private readonly placer: TaskPlacer,
    private readonly preemption: PreemptionPlanner,
    private readonly reservations: ReservationPlanner,
    private readonly opts: SchedulerOptions,
  ) {}

  plan(nowMs: number): void {
    this.victimSearches = 0;
    this.reservations.expire(nowMs);
    const entitlements = this.createEntitlements();
    const starving: WaitingShape[] = [];
    for (const shape of this.listBlocked()) {
      const waitedMs = nowMs - shape.blockedSinceMs!;
      const isUrgent = shape.properties.priority >= URGENT_PRIORITY;
      const isDue = isUrgent || waitedMs >= this.opts.reclaimAfterMs;
      if (this.opts.preemption && isDue) {
        this.preempt(shape, isUrgent, entitlements, nowMs);
      }
      const mayReserve = shape.properties.kind !== 'request';
      if (mayReserve && waitedMs >= this.opts.reserveAfterMs) starving.push(shape);
    }
    starving.sort(
      (a, b) =>
        b.properties.priority - a.properties.priority || a.blockedSinceMs! - b.blockedSinceMs!,
    );
    const handledWorks = new Set<string>();
    for (const shape of starving) {
      // Only one unit per kind of work can have a reservation, so the other shapes are skipped.
      const { work } = shape.properties;
      if (!handledWorks.has(work) && this.reserveForFirst(shape, nowMs)) handledWorks.add(work);
    }
  }

  private listBlocked(): WaitingShape[] {
    const blocked: WaitingShape[] = [];
    for (const { lanes } of this.queue.listClasses()) {
      for (const lane of lanes.values()) {
        for (const shape of lane.listCandidates(this.opts.lookAhead)) {
          if (shape.size > 0 && shape.blockedSinceMs !== undefined) blocked.push(shape);
        }
      }
    }
    return blocked;
  }

  private preempt(
    shape: WaitingShape,
    isUrgent: boolean,
    entitlements: Entitlements,
    nowMs: number,
  ): void {
    if (nowMs < shape.nextPreemptionAtMs) return;
    const size = this.placer.estimateSize(shape);
    if (!isUrgent && !entitlements.canReclaim(shape.properties.team, size)) return;
    for (const { unit, pending } of shape.listFirst(MAX_UNITS_PER_SHAPE)) {
      if (this.victimSearches >= MAX_VICTIM_SEARCHES) return;
      if (this.holds.list(unit.id).some((hold) => hold.isUrgent || !isUrgent)) continue;
      const taskCount =
        unit.kind === 'gang' ? pending.length : Math.min(MAX_TASKS_PER_UNIT, pending.length);
      if (!this.ledger.fitsTeamLimit(unit.team, size, unit.kind === 'gang' ? taskCount : 1)) return;
      this.victimSearches += taskCount;
      const planned = this.preemption.plan(unit, size, taskCount, isUrgent, entitlements, nowMs);
      if (planned > 0) continue;
      shape.nextPreemptionAtMs = nowMs + (isUrgent ? URGENT_SEARCH_BACKOFF_MS : SEARCH_BACKOFF_MS);
      return;
    }
  }

  /**
   * Reserves capacity for the first unit of a shape. Returns whether some unit of its kind of
   * work has a reservation now.
   */
  private reserveForFirst(shape: WaitingShape, nowMs: number): boolean {
    const entry = shape.peek();
    if (!entry) return false;
    const { unit, pending } = entry;
    if (this.holds.list(unit.id).length > 0) return this.reservations.hasReservation(unit.id);
    const hasReservation = this.reservations.hasReservation(unit.id);
    if (!hasReservation && !this.reservations.canReserve(unit.work)) return true;
    const size = this.placer.estimateSize(shape);
    const count = unit.kind === 'gang' ? pending.length : 1;
    if (!this.ledger.fitsTeamLimit(unit.team, size, count)) return false;
    return this.reservations.reserve(unit, size, count, nowMs);
  }

  private createEntitlements(): Entitlements {
    const active = new Set<string>();
    for (const team of this.ledger.listTeams()) if (team.entries.size > 0) active.add(team.name);
    for (const { lanes } of this.queue.listClasses()) {
      for (const lane of lanes.values()) if (!lane.isEmpty) active.add(lane.team);
    }
    const { ledger, catalog, evictions, shares } = this;
    return new Entitlements(ledger, catalog, evictions, shares, active);
  }
}
