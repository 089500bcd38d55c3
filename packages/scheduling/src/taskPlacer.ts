import { addResources, fitsInto, RESOURCE_NAMES } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { Attempt, WorkloadKind } from '@lagoongap/model/workload.js';

import { createAttempt } from './attemptFactory.js';
import type { RandomSource } from './attemptFactory.js';
import type { EndpointCatalog } from './endpointCatalog.js';
import type { EndpointRecord } from './endpointRecord.js';
import type { FairShareTracker } from './fairShareTracker.js';
import type { FeasibilityChecker } from './feasibilityChecker.js';
import type { Hold, HoldTable } from './holdTable.js';
import type { PlacementLedger } from './placementLedger.js';
import type { PlacementPolicy } from './placementPolicy.js';
import type { SizeEstimator } from './sizeEstimator.js';
import type { SpreadCounter } from './spreadCounter.js';
import type { WaitingEntry, WaitingShape } from './waitingShape.js';

/** Reason why nothing was placed; `active` tasks have attempts that are not released yet. */
export type Obstacle = 'capacity' | 'limit' | 'active';

/** Attempts that were reserved, or the reason why there are none. */
export interface PlaceResult {
  attempts: Attempt[];
  obstacle?: Obstacle;
}

function lastOf(indexes: readonly number[]): number {
  return indexes[indexes.length - 1]!;
}

/** Places the next task of a waiting unit, or all tasks of a gang, and reserves capacity. */
export class TaskPlacer {
  constructor(
    private readonly ledger: PlacementLedger,
    private readonly catalog: EndpointCatalog,
    private readonly holds: HoldTable,
    private readonly policies: Readonly<Record<WorkloadKind, PlacementPolicy>>,
    private readonly sizeEstimator: SizeEstimator,
    private readonly feasibility: FeasibilityChecker,
    private readonly spread: SpreadCounter,
    private readonly shares: FairShareTracker,
    private readonly random: RandomSource,
  ) {}

  /** Returns the size to reserve for each task of a shape. */
  estimateSize({ properties }: WaitingShape): Resources {
    const { team, work, declared } = properties;
    const size = this.sizeEstimator.estimate(team, work, declared);
    const isLarger = RESOURCE_NAMES.some((name) => size[name] > declared[name]);
    // The estimate must not make work infeasible that is feasible with its declared size.
    if (isLarger && !this.feasibility.canEverFit(team, work, size)) return { ...declared };
    return size;
  }

  placeNext(entry: WaitingEntry, nowMs: number): PlaceResult {
    this.deferActiveTasks(entry);
    const isGang = entry.unit.kind === 'gang';
    if (entry.pending.length === 0 || (isGang && entry.deferred.length > 0)) {
      return { attempts: [], obstacle: 'active' };
    }
    const size = this.estimateSize(entry.shape);
    const count = isGang ? entry.pending.length : 1;
    if (!this.ledger.fitsTeamLimit(entry.unit.team, size, count)) {
      return { attempts: [], obstacle: 'limit' };
    }
    const records = this.chooseEndpoints(entry, size, count);
    if (records.length < count) return this.recordNoCapacity(entry, size);
    const attempts = records.map((record) => this.reserve(entry, record, size, nowMs));
    this.shares.update(entry.unit.team, nowMs);
    return { attempts };
  }

  /**
   * Marks the size as blocked. Gangs and units with excluded endpoints are skipped, as the same
   * size may fit for other units.
   */
  private recordNoCapacity({ unit, shape }: WaitingEntry, size: Resources): PlaceResult {
    const isUnitSpecific = unit.kind === 'gang' || unit.excluded.length > 0;
    const { blockedSizes } = this.catalog;
    shape.blockedSize = isUnitSpecific
      ? undefined
      : (blockedSizes.find(unit.work, size) ?? blockedSizes.add(unit.work, size));
    return { attempts: [], obstacle: 'capacity' };
  }

  /** Defers pending tasks for which an earlier attempt still holds a reservation. */
  private deferActiveTasks({ unit, pending, deferred }: WaitingEntry): void {
    if (unit.kind === 'gang') {
      for (let i = pending.length - 1; i >= 0; i--) {
        if (this.ledger.isTaskActive(unit.id, pending[i]!)) {
          deferred.push(...pending.splice(i, 1));
        }
      }
      return;
    }
    while (pending.length > 0 && this.ledger.isTaskActive(unit.id, lastOf(pending))) {
      deferred.push(pending.pop()!);
    }
  }

  private chooseEndpoints(entry: WaitingEntry, size: Resources, count: number): EndpointRecord[] {
    const { unit } = entry;
    const holds = this.holds.list(unit.id);
    if (unit.kind !== 'gang' && holds.length > 0) {
      const hold = this.findUsableHold(entry, size, holds);
      if (hold) {
        this.holds.drop(hold);
        return [hold.record];
      }
    }
    // A blocked size does not take account of capacity that the unit itself holds.
    if (holds.length === 0 && this.catalog.blockedSizes.find(unit.work, size)) return [];
    const records = this.policies[unit.kind].choose({ unit, size, count, holds });
    if (records.length < count || holds.length === 0) return records;
    // The unit no longer needs the holds for the tasks that are placed now.
    if (unit.kind === 'gang') this.holds.dropUnit(unit.id);
    else this.holds.drop(holds[0]!);
    return records;
  }

  private findUsableHold(
    { unit }: WaitingEntry,
    size: Resources,
    holds: readonly Hold[],
  ): Hold | undefined {
    return holds.find(
      ({ record, size: held }) =>
        record.pool?.works.has(unit.work) &&
        !unit.excluded.includes(record.view.id) &&
        fitsInto(size, addResources(record.available, held)),
    );
  }

  private reserve(
    { unit, pending }: WaitingEntry,
    record: EndpointRecord,
    size: Resources,
    nowMs: number,
  ): Attempt {
    const attempt = createAttempt(unit, lastOf(pending), record.view.id, size, this.random);
    this.ledger.reserve(attempt, nowMs);
    pending.pop();
    if (unit.kind === 'service') this.spread.add(attempt.id, unit.id, record.view);
    return attempt;
  }
}
