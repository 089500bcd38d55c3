import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { EndpointCatalog } from './endpointCatalog.js';
import type { EndpointRecord } from './endpointRecord.js';
import { accumulate } from './resourceMath.js';

/** Capacity of one endpoint that is held for one task of a waiting unit. */
export interface Hold {
  readonly unitId: string;
  readonly team: string;
  readonly record: EndpointRecord;
  readonly size: Resources;
  /** Whether the unit is urgent; urgent work cannot take over such a hold. */
  readonly isUrgent: boolean;
  /** Monotonic time in milliseconds at which the hold expires. */
  readonly expiresAtMs: number;
}

/** Holds capacity for waiting units, so that no other work is placed on it. */
export class HoldTable {
  private readonly holds = new Map<string, Hold[]>();
  /** Increases with each hold that is added. */
  version = 0;

  constructor(private readonly catalog: EndpointCatalog) {}

  /** Returns the identifiers of the units that hold capacity. */
  listUnits(): string[] {
    return [...this.holds.keys()];
  }

  list(unitId: string): readonly Hold[] {
    return this.holds.get(unitId) ?? [];
  }

  /** Returns the holds on one endpoint that urgent work may take over. */
  listTransferable(record: EndpointRecord): Hold[] {
    const transferable: Hold[] = [];
    for (const holds of this.holds.values()) {
      for (const hold of holds)
        if (hold.record === record && !hold.isUrgent) transferable.push(hold);
    }
    return transferable;
  }

  /** Returns the sum of the holds for all units of a team. */
  sumTeam(team: string): Resources {
    const sum = { ...NO_RESOURCES };
    for (const holds of this.holds.values()) {
      for (const hold of holds) if (hold.team === team) accumulate(sum, hold.size, 1);
    }
    return sum;
  }

  add(hold: Hold): void {
    this.version += 1;
    const holds = this.holds.get(hold.unitId);
    if (holds) holds.push(hold);
    else this.holds.set(hold.unitId, [hold]);
    this.catalog.adjustHeld(hold.record, hold.size, 1);
  }

  drop(hold: Hold): void {
    const rest = this.list(hold.unitId).filter((other) => other !== hold);
    if (rest.length > 0) this.holds.set(hold.unitId, rest);
    else this.holds.delete(hold.unitId);
    this.catalog.adjustHeld(hold.record, hold.size, -1);
  }

  dropUnit(unitId: string): void {
    for (const hold of this.list(unitId)) this.drop(hold);
  }

  dropEndpoint(endpointId: string): void {
    this.dropWhere((hold) => hold.record.view.id === endpointId);
  }

  expire(nowMs: number): void {
    this.dropWhere((hold) => hold.expiresAtMs <= nowMs);
  }

  private dropWhere(matches: (hold: Hold) => boolean): void {
    for (const holds of [...this.holds.values()]) {
      for (const hold of holds.filter(matches)) this.drop(hold);
    }
  }
}
