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

/** Units of one shape for which places are sought at once. */
const MAX_UNITS = 16;

/** Tasks of one unit for which places are sought at once. */
const MAX_TASKS = 16;

/** Searches for victims in one turn; bounds the time of the turn. */
const MAX_SEARCHES = 4;

/** Time before a fruitless search for victims is repeated, in milliseconds. */
const FRUITLESS_PAUSE_MS = 2_000;

/** The same for urgent work. */
const URGENT_PAUSE_MS = 200;

/**
 * Looks after work that fits nowhere: has other work give way for urgent units
 * and for teams under their share, and reserves capacity for whatever else has
 * waited too long.
 */
export class ContentionPlanner {
  private searches = 0;

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
    this.searches = 0;
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
    const tried = new Set<string>();
    for (const shape of starving) {
      // One collects at a time, so only the first one of each kind of work has to be tried.
      const { work } = shape.properties;
      if (!tried.has(work) && this.reserve(shape, nowMs)) tried.add(work);
    }
  }

  private listBlocked(): WaitingShape[] {
    const blocked: WaitingShape[] = [];
    for (const { lanes } of this.queue.listClasses()) {
      for (const lane of lanes.values()) {
        for (const shape of lane.listAhead(this.opts.lookAhead)) {
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
    if (nowMs < shape.planAtMs) return;
    const size = this.placer.readSize(shape);
    if (!isUrgent && !entitlements.mayReclaim(shape.properties.team, size)) return;
    for (const { unit, pending } of shape.listFirst(MAX_UNITS)) {
      if (this.searches >= MAX_SEARCHES) return;
      if (this.holds.list(unit.id).some((hold) => hold.isUrgent || !isUrgent)) continue;
      const wanted = unit.kind === 'gang' ? pending.length : Math.min(MAX_TASKS, pending.length);
      if (!this.ledger.fitsTeam(unit.team, size, unit.kind === 'gang' ? wanted : 1)) return;
      this.searches += wanted;
      const planned = this.preemption.plan(unit, size, wanted, isUrgent, entitlements, nowMs);
      if (planned > 0) continue;
      shape.planAtMs = nowMs + (isUrgent ? URGENT_PAUSE_MS : FRUITLESS_PAUSE_MS);
      return;
    }
  }

  /** Reserves capacity for the first unit of a shape; true if its kind of work is taken now. */
  private reserve(shape: WaitingShape, nowMs: number): boolean {
    const entry = shape.peek();
    if (!entry) return false;
    const { unit, pending } = entry;
    if (this.holds.list(unit.id).length > 0) return this.reservations.isCollecting(unit.id);
    const isCollecting = this.reservations.isCollecting(unit.id);
    if (!isCollecting && !this.reservations.mayCollect(unit.work)) return true;
    const size = this.placer.readSize(shape);
    const count = unit.kind === 'gang' ? pending.length : 1;
    if (!this.ledger.fitsTeam(unit.team, size, count)) return false;
    return this.reservations.collect(unit, size, count, nowMs);
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
