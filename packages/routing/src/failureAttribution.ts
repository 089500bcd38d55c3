/** Number of different endpoints on which a unit must fail to be classified as bad. */
const BAD_UNIT_ENDPOINTS = 3;

/** Maximum number of tracked units; those with the oldest failures are evicted. */
const MAX_UNITS = 10_000;

/** Maximum number of endpoints that are tracked per unit and outcome. */
const MAX_ENDPOINTS_PER_UNIT = 16;

/** Time after its last failure for which a unit is tracked, in milliseconds. */
const RETENTION_MS = 600_000;

interface UnitRecord {
  failedOn: Set<string>;
  succeededOn: Set<string>;
  lastFailureMs: number;
  isBad: boolean;
}

/** Consequences of a failure of a unit. */
export interface FailureVerdict {
  /** Whether the failure counts as a failure of the endpoint. */
  countsAgainstEndpoint: boolean;
  /** Endpoints for which an earlier failure of the unit must be retracted. */
  retractedFrom: string[];
}

/**
 * Attributes failures to units or to endpoints. A unit that fails on three different endpoints
 * is bad, unless it succeeded on at least as many: the tasks of a large job may run on three bad
 * endpoints. Failures on endpoints where other units fail as well are no evidence against the unit.
 */
export class FailureAttribution {
  private readonly units = new Map<string, UnitRecord>();

  /** Number of tracked units. */
  get size(): number {
    return this.units.size;
  }

  /** Returns whether a unit is classified as bad. */
  isBad(unitId: string): boolean {
    return this.units.get(unitId)?.isBad ?? false;
  }

  /** Records a success; only units that have failed before are tracked. */
  recordSuccess(unitId: string, endpointId: string): void {
    const unit = this.units.get(unitId);
    if (unit !== undefined && unit.succeededOn.size < MAX_ENDPOINTS_PER_UNIT) {
      unit.succeededOn.add(endpointId);
    }
  }

  /**
   * Records a failure.
   *
   * @param isSuspect - Returns whether the failures of other units alone show an endpoint as bad.
   */
  recordFailure(
    unitId: string,
    endpointId: string,
    isSuspect: (endpointId: string) => boolean,
  ): FailureVerdict {
    const unit = this.findOrCreate(unitId);
    if (unit.isBad) return { countsAgainstEndpoint: false, retractedFrom: [] };
    if (unit.failedOn.size < MAX_ENDPOINTS_PER_UNIT) unit.failedOn.add(endpointId);
    const conclusiveEndpoints = [...unit.failedOn].filter((id) => !isSuspect(id));
    unit.isBad =
      conclusiveEndpoints.length >= BAD_UNIT_ENDPOINTS &&
      conclusiveEndpoints.length > unit.succeededOn.size;
    if (!unit.isBad) return { countsAgainstEndpoint: true, retractedFrom: [] };
    const retractedFrom = [...unit.failedOn].filter((id) => id !== endpointId);
    unit.failedOn.clear();
    unit.succeededOn.clear();
    return { countsAgainstEndpoint: false, retractedFrom };
  }

  private findOrCreate(unitId: string): UnitRecord {
    this.evictExpired();
    const unit = this.units.get(unitId) ?? {
      failedOn: new Set(),
      succeededOn: new Set(),
      lastFailureMs: 0,
      isBad: false,
    };
    unit.lastFailureMs = performance.now();
    // Insertion order is the order of the last failures.
    this.units.delete(unitId);
    this.units.set(unitId, unit);
    return unit;
  }

  private evictExpired(): void {
    const oldestMs = performance.now() - RETENTION_MS;
    for (const [unitId, unit] of this.units) {
      if (unit.lastFailureMs >= oldestMs && this.units.size < MAX_UNITS) return;
      this.units.delete(unitId);
    }
  }
}
