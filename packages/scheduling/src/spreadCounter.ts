import type { EndpointView } from './scheduler.js';

type Counts = Map<string, number>;

interface CountedAttempt {
  unitId: string;
  keys: string[];
}

/** Counts the running tasks of each service by data centre, rack and endpoint. */
export class SpreadCounter {
  private readonly countsByUnit = new Map<string, Counts>();
  /** Keys under which each attempt was counted; its endpoint may have changed or left since. */
  private readonly countedAttempts = new Map<string, CountedAttempt>();

  add(attemptId: string, unitId: string, endpoint: EndpointView): void {
    const keys = [
      `d|${endpoint.dataCentre}`,
      `r|${endpoint.dataCentre}|${endpoint.rack}`,
      `e|${endpoint.id}`,
    ];
    this.countedAttempts.set(attemptId, { unitId, keys });
    const counts = this.countsByUnit.get(unitId) ?? new Map<string, number>();
    this.countsByUnit.set(unitId, counts);
    for (const key of keys) counts.set(key, (counts.get(key) ?? 0) + 1);
  }

  remove(attemptId: string): void {
    const location = this.countedAttempts.get(attemptId);
    if (!location) return;
    this.countedAttempts.delete(attemptId);
    const counts = this.countsByUnit.get(location.unitId)!;
    for (const key of location.keys) {
      const count = counts.get(key)! - 1;
      if (count > 0) counts.set(key, count);
      else counts.delete(key);
    }
    if (counts.size === 0) this.countsByUnit.delete(location.unitId);
  }

  countInDataCentre(unitId: string, dataCentre: string): number {
    return this.countsByUnit.get(unitId)?.get(`d|${dataCentre}`) ?? 0;
  }

  countInRack(unitId: string, endpoint: EndpointView): number {
    return this.countsByUnit.get(unitId)?.get(`r|${endpoint.dataCentre}|${endpoint.rack}`) ?? 0;
  }

  countOnEndpoint(unitId: string, endpointId: string): number {
    return this.countsByUnit.get(unitId)?.get(`e|${endpointId}`) ?? 0;
  }
}
