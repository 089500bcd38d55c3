/** Failures on this many different endpoints show that a unit itself is bad. */
const BAD_UNIT_ENDPOINTS = 3;

/** Most units with failures that are remembered; the ones with the oldest failures are dropped. */
const MAX_UNITS = 10_000;

/** Most endpoints that are remembered for one unit. */
const MAX_ENDPOINTS_PER_UNIT = 16;

/** Time after its last failure for which a unit is remembered, in milliseconds. */
const RETENTION_MS = 600_000;

interface UnitRecord {
  failedOn: Set<string>;
  succeededOn: Set<string>;
  lastFailureMs: number;
  isBad: boolean;
}

/** What follows from the failure of a unit. */
export interface FailureVerdict {
  /** The failure counts against the endpoint. */
  countsAgainstEndpoint: boolean;
  /** Endpoints from which an earlier failure of the unit has to be taken back. */
  retractedFrom: string[];
}

/**
 * Attributes failures to units or to endpoints. A unit that fails on three different endpoints
 * is bad, unless it succeeded on at least as many: a job of many tasks may well meet three bad
 * endpoints. Failures on endpoints where other units fail as well say nothing about the unit.
 */
export class FailureAttribution {
  private readonly units = new Map<string, UnitRecord>();

  /** Number of units that are remembered. */
  get size(): number {
    return this.units.size;
  }

  /** Tells whether a unit is known to be bad. */
  isBad(unitId: string): boolean {
    return this.units.get(unitId)?.isBad ?? false;
  }

  /** Notes a success; only units that have failed before are remembered. */
  recordSuccess(unitId: string, endpointId: string): void {
    const unit = this.units.get(unitId);
    if (unit !== undefined && unit.succeededOn.size < MAX_ENDPOINTS_PER_UNIT) {
      unit.succeededOn.add(endpointId);
    }
  }

  /**
   * Notes a failure.
   *
   * @param isSuspect - Tells whether an endpoint is bad by the failures of other units alone.
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
    unit.isBad = conclusiveEndpoints.length >= BAD_UNIT_ENDPOINTS && conclusiveEndpoints.length > unit.succeededOn.size;
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
