import { dominantShare, subtractResources } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { WorkUnit } from '@lagoongap/model/workload.js';

import type { EndpointCatalog } from './endpointCatalog.js';
import type { EndpointRecord } from './endpointRecord.js';
import type { HoldTable } from './holdTable.js';
import type { PlacementLedger } from './placementLedger.js';
import { accumulate, countFits } from './resourceMath.js';

interface TargetEndpoint {
  record: EndpointRecord;
  /** Number of tasks that fit now. */
  now: number;
  /** Number of tasks that fit once all attempts other than services have ended. */
  later: number;
  /** Dominant share of the endpoint that is reserved or held. */
  utilisation: number;
}

interface Reservation {
  work: string;
  sinceMs: number;
}

/**
 * Reserves capacity for units that have waited too long, so that smaller work cannot starve
 * them. Work that fits beside a reservation is placed as usual (backfilling).
 *
 * Among kinds of work that share endpoints only one unit has a reservation at a time.
 * Otherwise two gangs that have each reserved part of what they need would deadlock.
 */
export class ReservationPlanner {
  private readonly reservations = new Map<string, Reservation>();

  constructor(
    private readonly ledger: PlacementLedger,
    private readonly catalog: EndpointCatalog,
    private readonly holds: HoldTable,
    private readonly reservationHoldMs: number,
    private readonly maxReservationMs: number,
  ) {}

  hasReservation(unitId: string): boolean {
    return this.reservations.has(unitId);
  }

  /** Returns whether no unit has a reservation on endpoints that take this kind of work. */
  canReserve(work: string): boolean {
    const pools = new Set(this.catalog.listPools(work));
    for (const reservation of this.reservations.values()) {
      if (reservation.work === work) return false;
      if (this.catalog.listPools(reservation.work).some((pool) => pools.has(pool))) return false;
    }
    return true;
  }

  /** Ends the reservations that have reached their maximum duration. */
  expire(nowMs: number): void {
    for (const [unitId, reservation] of this.reservations) {
      if (nowMs - reservation.sinceMs >= this.maxReservationMs) this.end(unitId);
    }
  }

  /**
   * Reserves capacity for `count` tasks. Returns false if they would not fit even if the fleet
   * ran nothing but its services and kept its other holds.
   */
  reserve(unit: WorkUnit, size: Resources, count: number, nowMs: number): boolean {
    const targets = this.listTargets(unit, size, count);
    const slots = targets.flatMap(({ record, now }) => Array<EndpointRecord>(now).fill(record));
    for (const { record, now, later } of targets) {
      for (let i = now; i < later; i++) slots.push(record);
    }
    if (slots.length < count) return false;
    if (!this.reservations.has(unit.id)) {
      this.reservations.set(unit.id, { work: unit.work, sinceMs: nowMs });
    }
    const expiresAtMs = nowMs + this.reservationHoldMs;
    for (const record of slots.slice(0, count)) {
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

  /** Ends the reservation of a unit that was placed or has left the queue. */
  end(unitId: string): void {
    if (this.reservations.delete(unitId)) this.holds.dropUnit(unitId);
  }

  private listTargets(unit: WorkUnit, size: Resources, count: number): TargetEndpoint[] {
    const targets: TargetEndpoint[] = [];
    for (const pool of this.catalog.listPools(unit.work)) {
      for (const record of pool.records) {
        if (unit.excluded.includes(record.view.id)) continue;
        const target = this.evaluate(record, size, count);
        if (target.later > 0) targets.push(target);
      }
    }
    return targets.sort((a, b) => b.now - a.now || a.utilisation - b.utilisation);
  }

  private evaluate(record: EndpointRecord, size: Resources, count: number): TargetEndpoint {
    const capacity = record.view.size;
    const account = this.ledger.findEndpoint(record.view.id);
    const idle = subtractResources(capacity, record.held);
    if (account) accumulate(idle, account.serviceReserved, -1);
    return {
      record,
      now: Math.min(count, countFits(size, record.available)),
      later: Math.min(count, countFits(size, idle)),
      utilisation: dominantShare(subtractResources(capacity, record.available), capacity),
    };
  }
}
