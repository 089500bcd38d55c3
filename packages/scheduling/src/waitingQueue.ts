import type { WorkUnit } from '@lagoongap/model/workload.js';

import { BinaryHeap } from './binaryHeap.js';
import { QueueLane } from './queueLane.js';
import { sizeKey } from './resourceMath.js';
import { WaitingShape } from './waitingShape.js';
import type { WaitingEntry } from './waitingShape.js';

/** Lanes of all teams for one priority. */
export interface PriorityClass {
  readonly priority: number;
  readonly lanes: Map<string, QueueLane>;
}

/** Least number of dead deadlines that is worth a compaction. */
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

  private deadDeadlines = 0;
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

  /** Priority classes, most important first. */
  listClasses(): readonly PriorityClass[] {
    return this.classes;
  }

  countWaiting(queue: string): number {
    return this.countByQueue.get(queue) ?? 0;
  }

  listCounts(): Record<string, number> {
    return Object.fromEntries(this.countByQueue);
  }

  /** Adds a unit; tasks of a unit that waits already are joined. */
  enqueue(unit: WorkUnit): WaitingEntry {
    const earlier = this.entries.get(unit.id);
    let { indexes } = unit;
    if (earlier) {
      this.remove(earlier);
      indexes = [...earlier.pending, ...earlier.deferred, ...unit.indexes];
    }
    const pending = [...new Set(indexes)].sort((a, b) => b - a);
    const shape = this.openShape({ ...unit, indexes: pending });
    const entry: WaitingEntry = {
      unit,
      pending,
      deferred: [],
      shape,
      isWaiting: true,
      isParked: false,
      triedStamp: -1,
    };
    this.entries.set(unit.id, entry);
    this.count(unit, 1);
    if (unit.deadlineAtMs !== undefined) this.deadlines.push(entry);
    this.join(entry);
    return entry;
  }

  /** Takes a unit out of the queue, in constant time on average. */
  remove(entry: WaitingEntry): void {
    if (!entry.isWaiting) return;
    // The lane is put in order once before its next use, however many units go.
    if (!entry.isParked) this.findLane(entry).markUnsorted();
    this.take(entry);
  }

  /** Takes a unit out of the queue after its last task was placed. */
  take(entry: WaitingEntry): void {
    if (!entry.isWaiting) return;
    const { unit, shape } = entry;
    entry.isWaiting = false;
    this.entries.delete(unit.id);
    this.count(unit, -1);
    if (unit.deadlineAtMs !== undefined) this.forgetDeadline();
    if (!entry.isParked) this.leave(entry);
    else if (shape.size === 0) this.closeShape(shape);
  }

  /** Takes a unit whose tasks all have reservations out of line. */
  park(entry: WaitingEntry): void {
    if (entry.isParked) return;
    entry.isParked = true;
    this.leave(entry);
  }

  /** Has the deferred tasks of a unit tried again. */
  resume(unitId: string): void {
    const entry = this.entries.get(unitId);
    if (!entry || entry.deferred.length === 0) return;
    entry.pending.push(...entry.deferred.splice(0));
    this.findLane(entry).examinedVersion = -1;
    if (!entry.isParked) return;
    entry.isParked = false;
    this.join(entry);
  }

  /** Removes and returns a unit whose deadline has passed. */
  popExpired(nowMs: number): WaitingEntry | undefined {
    for (;;) {
      const entry = this.deadlines.peek();
      if (!entry || entry.unit.deadlineAtMs! > nowMs) return undefined;
      this.deadlines.pop();
      if (!entry.isWaiting) {
        this.deadDeadlines -= 1;
        continue;
      }
      // The entry has left the heap, so it does not count as a dead one.
      this.deadDeadlines -= 1;
      this.remove(entry);
      return entry;
    }
  }

  private openShape(unit: WorkUnit): WaitingShape {
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

  private closeShape(shape: WaitingShape): void {
    if (this.shapes.get(shape.properties.key) === shape) {
      this.shapes.delete(shape.properties.key);
    }
  }

  private join(entry: WaitingEntry): void {
    const { shape } = entry;
    const { key, team, priority } = shape.properties;
    this.shapes.set(key, shape);
    const lane = this.openLane(priority, team);
    lane.examinedVersion = -1;
    const isFirst = shape.insert(entry);
    if (isFirst) shape.blockedVersion = -1;
    if (!shape.isListed) lane.add(shape);
    else if (isFirst) lane.markUnsorted();
  }

  private leave(entry: WaitingEntry): void {
    const { shape } = entry;
    const wasFirst = shape.forget(entry);
    if (shape.size === 0) this.closeShape(shape);
    if (!wasFirst) return;
    shape.blockedSinceMs = undefined;
    this.findLane(entry).advance(shape);
  }

  private findLane({ shape }: WaitingEntry): QueueLane {
    return this.openLane(shape.properties.priority, shape.properties.team);
  }

  private openLane(priority: number, team: string): QueueLane {
    let found = this.classes.find((each) => each.priority === priority);
    if (!found) {
      found = { priority, lanes: new Map() };
      this.classes.push(found);
      this.classes.sort((a, b) => b.priority - a.priority);
    }
    let lane = found.lanes.get(team);
    if (!lane) {
      lane = new QueueLane(team, priority);
      found.lanes.set(team, lane);
    }
    return lane;
  }

  private forgetDeadline(): void {
    this.deadDeadlines += 1;
    if (this.deadDeadlines < COMPACTION_THRESHOLD) return;
    if (this.deadDeadlines < this.deadlines.size / 2) return;
    this.deadlines.retain((entry) => entry.isWaiting);
    this.deadDeadlines = 0;
  }

  private count(unit: WorkUnit, delta: 1 | -1): void {
    this.countByQueue.set(unit.queue, this.countWaiting(unit.queue) + delta);
    if (unit.kind === 'request') this.requestCount += delta;
  }
}
