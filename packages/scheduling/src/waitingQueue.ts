import type { WorkUnit } from '@lagoongap/model/workload.js';

import { BinaryHeap } from './binaryHeap.js';
import { QueueLane } from './queueLane.js';
import { sizeKey } from './resourceMath.js';
import { WaitingShape } from './waitingShape.js';
import type { WaitingEntry } from './waitingShape.js';

/** Lanes of all teams for one priority, by team name. */
export interface PriorityClass {
  readonly priority: number;
  readonly lanes: Map<string, QueueLane>;
}

/** Minimum number of stale deadlines for a compaction of the heap. */
const COMPACTION_THRESHOLD = 1024;

function shapeKey(unit: WorkUnit): string {
  const count = unit.kind === 'gang' ? unit.indexes.length : 1;
  const excluded = unit.excluded.join(' ');
  return `${unit.priority}|${unit.team}|${unit.kind}|${unit.work}|${sizeKey(unit.size)}|${count}|${excluded}`;
}

/** Waiting units by priority class, team, shape and arrival. */
export class WaitingQueue {
  private readonly classes: PriorityClass[] = [];
  private readonly shapes = new Map<string, WaitingShape>();
  private readonly entries = new Map<string, WaitingEntry>();
  private readonly countByQueue = new Map<string, number>();
  private readonly deadlines = new BinaryHeap<WaitingEntry>(
    (a, b) => a.unit.deadlineAtMs! - b.unit.deadlineAtMs!,
  );

  private staleDeadlines = 0;
  private requestCount = 0;

  get size(): number {
    return this.entries.size;
  }

  /** Number of waiting units that are requests. */
  get requests(): number {
    return this.requestCount;
  }

  find(unitId: string): WaitingEntry | undefined {
    return this.entries.get(unitId);
  }

  listEntries(): Iterable<WaitingEntry> {
    return this.entries.values();
  }

  listShapes(): Iterable<WaitingShape> {
    return this.shapes.values();
  }

  /** Returns the priority classes, highest priority first. */
  listClasses(): readonly PriorityClass[] {
    return this.classes;
  }

  countWaiting(queue: string): number {
    return this.countByQueue.get(queue) ?? 0;
  }

  listCounts(): Record<string, number> {
    return Object.fromEntries(this.countByQueue);
  }

  /** Adds a unit; its tasks are merged with those of the same unit if it waits already. */
  enqueue(unit: WorkUnit): WaitingEntry {
    const earlier = this.entries.get(unit.id);
    let { indexes } = unit;
    if (earlier) {
      this.remove(earlier);
      indexes = [...earlier.pending, ...earlier.deferred, ...unit.indexes];
    }
    const pending = [...new Set(indexes)].sort((a, b) => b - a);
    const shape = this.getOrCreateShape({ ...unit, indexes: pending });
    const entry: WaitingEntry = {
      unit,
      pending,
      deferred: [],
      shape,
      isWaiting: true,
      isParked: false,
      lastTriedVersion: -1,
    };
    this.entries.set(unit.id, entry);
    this.adjustCounts(unit, 1);
    if (unit.deadlineAtMs !== undefined) this.deadlines.push(entry);
    this.addToShape(entry);
    return entry;
  }

  /** Removes a unit from the queue, in amortised constant time. */
  remove(entry: WaitingEntry): void {
    if (!entry.isWaiting) return;
    // The lane is sorted once before its next use, however many units are removed.
    if (!entry.isParked) this.getLane(entry).markUnsorted();
    this.removeKeepingOrder(entry);
  }

  /** Removes a unit from the queue and keeps its lane sorted. */
  removeKeepingOrder(entry: WaitingEntry): void {
    if (!entry.isWaiting) return;
    const { unit, shape } = entry;
    entry.isWaiting = false;
    this.entries.delete(unit.id);
    this.adjustCounts(unit, -1);
    if (unit.deadlineAtMs !== undefined) this.markDeadlineStale();
    if (!entry.isParked) this.removeFromShape(entry);
    else if (shape.size === 0) this.removeShape(shape);
  }

  /** Suspends a unit until an earlier attempt of one of its tasks is released. */
  park(entry: WaitingEntry): void {
    if (entry.isParked) return;
    entry.isParked = true;
    this.removeFromShape(entry);
  }

  /** Makes the deferred tasks of a unit pending again. */
  resume(unitId: string): void {
    const entry = this.entries.get(unitId);
    if (!entry || entry.deferred.length === 0) return;
    entry.pending.push(...entry.deferred.splice(0));
    this.getLane(entry).blockedVersion = -1;
    if (!entry.isParked) return;
    entry.isParked = false;
    this.addToShape(entry);
  }

  /** Removes and returns a unit whose deadline has passed. */
  popExpired(nowMs: number): WaitingEntry | undefined {
    for (;;) {
      const entry = this.deadlines.peek();
      if (!entry || entry.unit.deadlineAtMs! > nowMs) return undefined;
      this.deadlines.pop();
      if (!entry.isWaiting) {
        this.staleDeadlines -= 1;
        continue;
      }
      // `remove` counts a stale deadline, but this one has already left the heap.
      this.staleDeadlines -= 1;
      this.remove(entry);
      return entry;
    }
  }

  private getOrCreateShape(unit: WorkUnit): WaitingShape {
    const key = shapeKey(unit);
    let shape = this.shapes.get(key);
    if (!shape) {
      shape = new WaitingShape({
        key,
        team: unit.team,
        priority: unit.priority,
        kind: unit.kind,
        work: unit.work,
        declared: { ...unit.size },
        excluded: [...unit.excluded],
        count: unit.kind === 'gang' ? unit.indexes.length : 1,
      });
      this.shapes.set(key, shape);
    }
    return shape;
  }

  private removeShape(shape: WaitingShape): void {
    if (this.shapes.get(shape.properties.key) === shape) {
      this.shapes.delete(shape.properties.key);
    }
  }

  private addToShape(entry: WaitingEntry): void {
    const { shape } = entry;
    const { key, team, priority } = shape.properties;
    this.shapes.set(key, shape);
    const lane = this.getOrCreateLane(priority, team);
    lane.blockedVersion = -1;
    const isFirst = shape.insert(entry);
    if (isFirst) shape.blockedVersion = -1;
    if (!shape.isListed) lane.add(shape);
    else if (isFirst) lane.markUnsorted();
  }

  private removeFromShape(entry: WaitingEntry): void {
    const { shape } = entry;
    const wasFirst = shape.remove(entry);
    if (shape.size === 0) this.removeShape(shape);
    if (!wasFirst) return;
    shape.blockedSinceMs = undefined;
    this.getLane(entry).reposition(shape);
  }

  private getLane({ shape }: WaitingEntry): QueueLane {
    return this.getOrCreateLane(shape.properties.priority, shape.properties.team);
  }

  private getOrCreateLane(priority: number, team: string): QueueLane {
    let priorityClass = this.classes.find((each) => each.priority === priority);
    if (!priorityClass) {
      priorityClass = { priority, lanes: new Map() };
      this.classes.push(priorityClass);
      this.classes.sort((a, b) => b.priority - a.priority);
    }
    let lane = priorityClass.lanes.get(team);
    if (!lane) {
      lane = new QueueLane(team, priority);
      priorityClass.lanes.set(team, lane);
    }
    return lane;
  }

  private markDeadlineStale(): void {
    this.staleDeadlines += 1;
    if (this.staleDeadlines < COMPACTION_THRESHOLD) return;
    if (this.staleDeadlines < this.deadlines.size / 2) return;
    this.deadlines.retain((entry) => entry.isWaiting);
    this.staleDeadlines = 0;
  }

  private adjustCounts(unit: WorkUnit, delta: 1 | -1): void {
    this.countByQueue.set(unit.queue, this.countWaiting(unit.queue) + delta);
    if (unit.kind === 'request') this.requestCount += delta;
  }
}
