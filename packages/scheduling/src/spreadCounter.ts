import type { EndpointView } from './scheduler.js';

type Counts = Map<string, number>;

interface Location {
  unitId: string;
  keys: string[];
}

/** Counts the running tasks of each service by data centre, rack and endpoint. */
export class SpreadCounter {
  private readonly units = new Map<string, Counts>();
  /** Where each attempt was counted; the endpoint may have changed or gone since. */
  private readonly locations = new Map<string, Location>();

  add(attemptId: string, unitId: string, endpoint: EndpointView): void {
    const keys = [
      `d|${endpoint.dataCentre}`,
      `r|${endpoint.dataCentre}|${endpoint.rack}`,
      `e|${endpoint.id}`,
    ];
    this.locations.set(attemptId, { unitId, keys });
    const counts = this.units.get(unitId) ?? new Map<string, number>();
    this.units.set(unitId, counts);
    for (const key of keys) counts.set(key, (counts.get(key) ?? 0) + 1);
  }

  remove(attemptId: string): void {
    const location = this.locations.get(attemptId);
    if (!location) return;
    this.locations.delete(attemptId);
    const counts = this.units.get(location.unitId)!;
    for (const key of location.keys) {
      const count = counts.get(key)! - 1;
      if (count > 0) counts.set(key, count);
      else counts.delete(key);
    }
    if (counts.size === 0) this.units.delete(location.unitId);
  }

  countInDataCentre(unitId: string, dataCentre: string): number {
    return this.units.get(unitId)?.get(`d|${dataCentre}`) ?? 0;
  }

  countInRack(unitId: string, endpoint: EndpointView): number {
    return this.units.get(unitId)?.get(`r|${endpoint.dataCentre}|${endpoint.rack}`) ?? 0;
  }

  countOnEndpoint(unitId: string, endpointId: string): number {
    return this.units.get(unitId)?.get(`e|${endpointId}`) ?? 0;
  }
}
