import { dominantShare, subtractResources } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { WorkUnit } from '@lagoongap/model/workload.js';

import type { EndpointCatalog } from './endpointCatalog.js';
import type { EndpointRecord } from './endpointRecord.js';
import type { HoldTable } from './holdTable.js';
import type { PlacementLedger } from './placementLedger.js';
import { accumulate, countFits } from './resourceMath.js';

interface Target {
  record: EndpointRecord;
  /** Tasks that fit now. */
  now: number;
  /** Tasks that fit once everything but services is gone. */
  later: number;
  /** What is still in use of the endpoint, as a share of its size. */
  used: number;
}

interface Collector {
  work: string;
  sinceMs: number;
}

/**
 * Reserves capacity for units that have waited too long, so that smaller work
 * can't starve them; whatever fits beside a reservation is placed as usual.
 *
 * Among kinds of work that share endpoints only one unit collects at a time, so
 * that two half-collected gangs can't block each other.
 */
export class ReservationPlanner {
  private readonly collectors = new Map<string, Collector>();

  constructor(
    private readonly ledger: PlacementLedger,
    private readonly catalog: EndpointCatalog,
    private readonly holds: HoldTable,
    private readonly reservationMs: number,
    private readonly collectMs: number,
  ) {}

  isCollecting(unitId: string): boolean {
    return this.collectors.has(unitId);
  }

  /** Tells whether no other unit collects on endpoints that take this kind of work. */
  mayCollect(work: string): boolean {
    const pools = new Set(this.catalog.listPools(work));
    for (const collector of this.collectors.values()) {
      if (collector.work === work) return false;
      if (this.catalog.listPools(collector.work).some((pool) => pools.has(pool))) return false;
    }
    return true;
  }

  /** Ends the collections that have taken their full time. */
  expire(nowMs: number): void {
    for (const [unitId, collector] of this.collectors) {
      if (nowMs - collector.sinceMs >= this.collectMs) this.finish(unitId);
    }
  }

  /** Reserves places for `count` tasks; false if even an otherwise idle fleet lacks them. */
  collect(unit: WorkUnit, size: Resources, count: number, nowMs: number): boolean {
    const targets = this.listTargets(unit, size, count);
    const places = targets.flatMap(({ record, now }) => Array<EndpointRecord>(now).fill(record));
    for (const { record, now, later } of targets) {
      for (let i = now; i < later; i++) places.push(record);
    }
    if (places.length < count) return false;
    if (!this.collectors.has(unit.id)) {
      this.collectors.set(unit.id, { work: unit.work, sinceMs: nowMs });
    }
    const expiresAtMs = nowMs + this.reservationMs;
    for (const record of places.slice(0, count)) {
      this.holds.add({
        unitId: unit.id,
        team: unit.team,
        record,
        size: { ...size },
        isUrgent: false,
        expiresAtMs,
      });
    }
    return true;
  }

  /** Ends the collection of a unit that was placed or has left the queue. */
  finish(unitId: string): void {
    if (this.collectors.delete(unitId)) this.holds.dropUnit(unitId);
  }

  private listTargets(unit: WorkUnit, size: Resources, count: number): Target[] {
    const targets: Target[] = [];
    for (const pool of this.catalog.listPools(unit.work)) {
      for (const record of pool.records) {
        if (unit.excluded.includes(record.view.id)) continue;
        const target = this.measure(record, size, count);
        if (target.later > 0) targets.push(target);
      }
    }
    return targets.sort((a, b) => b.now - a.now || a.used - b.used);
  }

  private measure(record: EndpointRecord, size: Resources, count: number): Target {
    const capacity = record.view.size;
    const account = this.ledger.findEndpoint(record.view.id);
    const idle = subtractResources(capacity, record.held);
    if (account) accumulate(idle, account.serviceReserved, -1);
    return {
      record,
      now: Math.min(count, countFits(size, record.available)),
      later: Math.min(count, countFits(size, idle)),
      used: dominantShare(subtractResources(capacity, record.available), capacity),
    };
  }
}
