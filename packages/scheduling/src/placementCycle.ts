import { URGENT_PRIORITY } from '@lagoongap/model/clusterConfig.js';
import type { Attempt } from '@lagoongap/model/workload.js';

import { BinaryHeap } from './binaryHeap.js';
import type { EndpointCatalog } from './endpointCatalog.js';
import type { FairShareTracker } from './fairShareTracker.js';
import type { HoldTable } from './holdTable.js';
import type { QueueLane } from './queueLane.js';
import type { PlaceDecision } from './scheduler.js';
import type { SchedulerOptions } from './schedulerOptions.js';
import type { TaskPlacer } from './taskPlacer.js';
import type { PriorityClass, WaitingQueue } from './waitingQueue.js';
import type { WaitingEntry, WaitingShape } from './waitingShape.js';

interface RankedLane {
  lane: QueueLane;
  score: number;
  arrivedAtMs: number;
}

function compareLanes(a: RankedLane, b: RankedLane): number {
  return a.score - b.score || a.arrivedAtMs - b.arrivedAtMs || (a.lane.team < b.lane.team ? -1 : 1);
}

/** Result for a unit; `later` means that it is postponed to a later scheduling cycle. */
type Progress = 'placed' | 'blocked' | 'later';

/** Called when the last task of a unit has been placed. */
export type UnitPlacedListener = (entry: WaitingEntry) => void;

/** Scheduling cycle: iterates over the waiting work in order and places what fits. */
export class PlacementCycle {
  private decisions = new Map<string, PlaceDecision>();
  private nowMs = 0;
  /** Whether this cycle found urgent work that fits nowhere and was not blocked before. */
  hasBlockedUrgent = false;
  /** Number of attempts that may still be placed in this cycle. */
  private budget = 0;
  /** Part of the budget for work other than requests. */
  private nonRequestBudget = 0;

  constructor(
    private readonly queue: WaitingQueue,
    private readonly catalog: EndpointCatalog,
    private readonly holds: HoldTable,
    private readonly shares: FairShareTracker,
    private readonly placer: TaskPlacer,
    private readonly onPlaced: UnitPlacedListener,
    private readonly opts: SchedulerOptions,
  ) {}

  run(nowMs: number, maxPlacements: number): PlaceDecision[] {
    this.decisions = new Map();
    this.nowMs = nowMs;
    this.hasBlockedUrgent = false;
    this.budget = maxPlacements;
    // Part of each cycle is reserved for requests, so that a burst of jobs does not delay them.
    const hasRequests = this.queue.requests > 0;
    this.nonRequestBudget = hasRequests
      ? Math.max(1, Math.floor(maxPlacements / 2))
      : maxPlacements;
    this.placeUnitsWithHolds();
    for (const priorityClass of this.queue.listClasses()) {
      if (this.budget <= 0) break;
      this.placeClass(priorityClass);
    }
    return [...this.decisions.values()];
  }

  /** Places units with held capacity first, as the capacity was freed for them. */
  private placeUnitsWithHolds(): void {
    const entries: WaitingEntry[] = [];
    for (const unitId of this.holds.listUnits()) {
      const entry = this.queue.find(unitId);
      if (!entry) this.holds.dropUnit(unitId);
      else if (!entry.isParked) entries.push(entry);
    }
    entries.sort((a, b) => b.unit.priority - a.unit.priority);
    for (const entry of entries) {
      // Both versions only increase, so an equal sum means that neither has changed.
      const version = this.catalog.freedVersion + this.holds.version;
      if (entry.lastTriedVersion === version) continue;
      while (entry.isWaiting && this.holds.list(entry.unit.id).length > 0) {
        const progress = this.canTryNow(entry.shape) ? this.tryPlace(entry) : 'later';
        if (progress === 'blocked') entry.lastTriedVersion = version;
        if (progress !== 'placed') break;
      }
    }
  }

  private placeClass({ lanes }: PriorityClass): void {
    const heap = new BinaryHeap<RankedLane>(compareLanes);
    for (const lane of lanes.values()) {
      if (lane.blockedVersion !== this.catalog.freedVersion && !lane.isEmpty) {
        heap.push(this.rank(lane));
      }
    }
    for (;;) {
      const ranked = heap.pop();
      if (!ranked || this.budget <= 0) return;
      if (this.placeFromLane(ranked.lane) && !ranked.lane.isEmpty) {
        heap.push(this.rank(ranked.lane));
      }
    }
  }

  private rank(lane: QueueLane): RankedLane {
    return {
      lane,
      score: this.shares.score(lane.team, this.nowMs),
      arrivedAtMs: lane.listCandidates(1)[0]?.arrivedAtMs ?? Infinity,
    };
  }

  /** Places the oldest work of a lane that fits; returns false if nothing fits. */
  private placeFromLane(lane: QueueLane): boolean {
    let isPostponed = false;
    for (const shape of lane.listCandidates(this.opts.lookAhead)) {
      if (this.isBlocked(shape)) continue;
      const progress = this.canTryNow(shape) ? this.tryPlaceFirst(shape) : 'later';
      if (progress === 'placed') return true;
      if (progress === 'later') isPostponed = true;
    }
    const hasMore = lane.advanceWindow(this.opts.lookAhead);
    if (!isPostponed && !hasMore) lane.blockedVersion = this.catalog.freedVersion;
    return false;
  }

  private isBlocked(shape: WaitingShape): boolean {
    if (shape.size === 0) return true;
    if (shape.blockedVersion < 0) return false;
    if (!shape.isAtLimit && shape.blockedSize?.isBlocked) return true;
    return shape.blockedVersion === this.getFreedVersion(shape);
  }

  /**
   * Returns the version that changes when a blocked shape may fit. A team at its limit waits
   * for the release of any of its attempts, which may run on any endpoint.
   */
  private getFreedVersion(shape: WaitingShape): number {
    return shape.isAtLimit
      ? this.catalog.freedVersion
      : this.catalog.getFreedVersion(shape.properties.work);
  }

  private canTryNow({ properties, retryAtMs }: WaitingShape): boolean {
    if (properties.kind !== 'request' && this.nonRequestBudget <= 0) return false;
    if (properties.kind !== 'gang') return this.budget > 0;
    if (this.nowMs < retryAtMs) return false;
    // A gang larger than the maximum per scheduling cycle is placed alone in its cycle.
    return properties.count <= this.budget || this.decisions.size === 0;
  }

  private tryPlaceFirst(shape: WaitingShape): Progress {
    for (;;) {
      const entry = shape.peek();
      if (!entry) return 'blocked';
      const progress = this.tryPlace(entry);
      if (entry.isWaiting && entry.isParked) continue;
      return progress;
    }
  }

  private tryPlace(entry: WaitingEntry): Progress {
    const { shape } = entry;
    const { attempts, obstacle } = this.placer.placeNext(entry, this.nowMs);
    if (attempts.length > 0) {
      this.recordPlacement(entry, attempts);
      return 'placed';
    }
    if (obstacle === 'active') {
      this.queue.park(entry);
      return 'blocked';
    }
    shape.isAtLimit = obstacle === 'limit';
    shape.blockedVersion = this.getFreedVersion(shape);
    if (shape.isAtLimit) shape.blockedSinceMs = undefined;
    else this.markBlocked(shape);
    if (entry.unit.kind === 'gang') shape.retryAtMs = this.nowMs + this.opts.gangRetryIntervalMs;
    return 'blocked';
  }

  private markBlocked(shape: WaitingShape): void {
    if (shape.blockedSinceMs !== undefined) return;
    shape.blockedSinceMs = this.nowMs;
    if (shape.properties.priority >= URGENT_PRIORITY) this.hasBlockedUrgent = true;
  }

  private recordPlacement(entry: WaitingEntry, attempts: Attempt[]): void {
    const { unit, shape } = entry;
    this.budget -= attempts.length;
    if (unit.kind !== 'request') this.nonRequestBudget -= attempts.length;
    shape.blockedVersion = -1;
    const decision = this.decisions.get(unit.id);
    if (decision) decision.attempts.push(...attempts);
    else this.decisions.set(unit.id, { type: 'place', unit, attempts });
    if (entry.pending.length > 0) return;
    if (entry.deferred.length > 0) {
      this.queue.park(entry);
      return;
    }
    this.queue.removeKeepingOrder(entry);
    this.onPlaced(entry);
  }
}
