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

/** Whether a unit could be placed; `later` work is only put off to the next turn. */
type Progress = 'placed' | 'blocked' | 'later';

/** Called when the last task of a unit was placed. */
export type PlacedListener = (entry: WaitingEntry) => void;

/** Goes through the waiting work in order and places what fits. */
export class PlacementTurn {
  private decisions = new Map<string, PlaceDecision>();
  private nowMs = 0;
  /** Urgent work was found not to fit for the first time in this turn. */
  hasBlockedUrgent = false;
  /** Attempts that may still be placed in this turn. */
  private budget = 0;
  /** The same for work that is not a request. */
  private otherBudget = 0;

  constructor(
    private readonly queue: WaitingQueue,
    private readonly catalog: EndpointCatalog,
    private readonly holds: HoldTable,
    private readonly shares: FairShareTracker,
    private readonly placer: TaskPlacer,
    private readonly onPlaced: PlacedListener,
    private readonly opts: SchedulerOptions,
  ) {}

  run(nowMs: number, maxPlacements: number): PlaceDecision[] {
    this.decisions = new Map();
    this.nowMs = nowMs;
    this.hasBlockedUrgent = false;
    this.budget = maxPlacements;
    // Part of each turn is kept for requests, so that a burst of jobs doesn't delay them.
    const hasRequests = this.queue.requests > 0;
    this.otherBudget = hasRequests ? Math.max(1, Math.floor(maxPlacements / 2)) : maxPlacements;
    this.placeHolders();
    for (const priorityClass of this.queue.listClasses()) {
      if (this.budget <= 0) break;
      this.placeClass(priorityClass);
    }
    return [...this.decisions.values()];
  }

  /** Units with held capacity go first, as the capacity was freed for them. */
  private placeHolders(): void {
    const entries: WaitingEntry[] = [];
    for (const unitId of this.holds.listUnits()) {
      const entry = this.queue.find(unitId);
      if (!entry) this.holds.dropUnit(unitId);
      else if (!entry.isParked) entries.push(entry);
    }
    entries.sort((a, b) => b.unit.priority - a.unit.priority);
    for (const entry of entries) {
      // Both versions only grow, so an equal sum means that neither has changed.
      const stamp = this.catalog.freedVersion + this.holds.version;
      if (entry.triedStamp === stamp) continue;
      while (entry.isWaiting && this.holds.list(entry.unit.id).length > 0) {
        const progress = this.mayPlace(entry.shape) ? this.place(entry) : 'later';
        if (progress === 'blocked') entry.triedStamp = stamp;
        if (progress !== 'placed') break;
      }
    }
  }

  private placeClass({ lanes }: PriorityClass): void {
    const heap = new BinaryHeap<RankedLane>(compareLanes);
    for (const lane of lanes.values()) {
      if (lane.examinedVersion !== this.catalog.freedVersion && !lane.isEmpty) {
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
      arrivedAtMs: lane.listAhead(1)[0]?.arrivedAtMs ?? Infinity,
    };
  }

  /** Places the oldest work of a lane that fits; false if nothing does. */
  private placeFromLane(lane: QueueLane): boolean {
    let isPutOff = false;
    for (const shape of lane.listAhead(this.opts.lookAhead)) {
      if (this.isBlocked(shape)) continue;
      const progress = this.mayPlace(shape) ? this.placeFirst(shape) : 'later';
      if (progress === 'placed') return true;
      if (progress === 'later') isPutOff = true;
    }
    const hasMore = lane.rotate(this.opts.lookAhead);
    if (!isPutOff && !hasMore) lane.examinedVersion = this.catalog.freedVersion;
    return false;
  }

  private isBlocked(shape: WaitingShape): boolean {
    if (shape.size === 0) return true;
    if (shape.blockedVersion < 0) return false;
    if (!shape.isAtLimit && shape.blockedSize?.isBlocked) return true;
    return shape.blockedVersion === this.readVersion(shape);
  }

  /** A team at its limit has to wait for any of its attempts, on whatever endpoint. */
  private readVersion(shape: WaitingShape): number {
    return shape.isAtLimit
      ? this.catalog.freedVersion
      : this.catalog.readFreedVersion(shape.properties.work);
  }

  private mayPlace({ properties, retryAtMs }: WaitingShape): boolean {
    if (properties.kind !== 'request' && this.otherBudget <= 0) return false;
    if (properties.kind !== 'gang') return this.budget > 0;
    if (this.nowMs < retryAtMs) return false;
    // A gang larger than the bound of a turn has a turn to itself.
    return properties.count <= this.budget || this.decisions.size === 0;
  }

  private placeFirst(shape: WaitingShape): Progress {
    for (;;) {
      const entry = shape.peek();
      if (!entry) return 'blocked';
      const progress = this.place(entry);
      if (entry.isWaiting && entry.isParked) continue;
      return progress;
    }
  }

  private place(entry: WaitingEntry): Progress {
    const { shape } = entry;
    const { attempts, obstacle } = this.placer.placeNext(entry, this.nowMs);
    if (attempts.length > 0) {
      this.record(entry, attempts);
      return 'placed';
    }
    if (obstacle === 'active') {
      this.queue.park(entry);
      return 'blocked';
    }
    shape.isAtLimit = obstacle === 'limit';
    shape.blockedVersion = this.readVersion(shape);
    if (shape.isAtLimit) shape.blockedSinceMs = undefined;
    else this.markBlocked(shape);
    if (entry.unit.kind === 'gang') shape.retryAtMs = this.nowMs + this.opts.gangRetryMs;
    return 'blocked';
  }

  private markBlocked(shape: WaitingShape): void {
    if (shape.blockedSinceMs !== undefined) return;
    shape.blockedSinceMs = this.nowMs;
    if (shape.properties.priority >= URGENT_PRIORITY) this.hasBlockedUrgent = true;
  }

  private record(entry: WaitingEntry, attempts: Attempt[]): void {
    const { unit, shape } = entry;
    this.budget -= attempts.length;
    if (unit.kind !== 'request') this.otherBudget -= attempts.length;
    shape.blockedVersion = -1;
    const decision = this.decisions.get(unit.id);
    if (decision) decision.attempts.push(...attempts);
    else this.decisions.set(unit.id, { type: 'place', unit, attempts });
    if (entry.pending.length > 0) return;
    if (entry.deferred.length > 0) {
      this.queue.park(entry);
      return;
    }
    this.queue.take(entry);
    this.onPlaced(entry);
  }
}
