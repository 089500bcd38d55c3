import { dominantShare, subtractResources } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { WorkUnit } from '@lagoongap/model/workload.js';

import type { CandidateSampler } from './candidateSampler.js';
import type { EndpointCatalog } from './endpointCatalog.js';
import type { EndpointPool } from './endpointPool.js';
import type { EndpointRecord } from './endpointRecord.js';
import type { PlacementPolicy, PlacementRequest } from './placementPolicy.js';
import type { SpreadCounter } from './spreadCounter.js';

// Each weight exceeds the maximum sum of the terms with smaller weights.
const RACK_WEIGHT = 1e6;
const ENDPOINT_WEIGHT = 1e3;
const FAILURE_WEIGHT = 4;
const ACCELERATOR_WEIGHT = 10;

/** Spreads the tasks of a service over data centres, then racks, then endpoints. */
export class ServicePolicy implements PlacementPolicy {
  constructor(
    private readonly catalog: EndpointCatalog,
    private readonly sampler: CandidateSampler,
    private readonly spread: SpreadCounter,
  ) {}

  choose({ unit, size }: PlacementRequest): EndpointRecord[] {
    for (const pools of this.groupPools(unit, size)) {
      const candidates = this.sampler.sample(pools, size, unit.excluded);
      let best: EndpointRecord | undefined;
      let bestScore = Infinity;
      for (const candidate of candidates) {
        const score = this.score(candidate, unit, size);
        if (score < bestScore) {
          best = candidate;
          bestScore = score;
        }
      }
      if (best) return [best];
    }
    return [];
  }

  /** Groups pools by the number of tasks of the unit in their data centre, fewest first. */
  private groupPools(unit: WorkUnit, size: Resources): EndpointPool[][] {
    const groups = new Map<number, EndpointPool[]>();
    for (const pool of this.catalog.listPools(unit.work)) {
      if (!pool.mightFit(size)) continue;
      const count = this.spread.countInDataCentre(unit.id, pool.dataCentre);
      const group = groups.get(count);
      if (group) group.push(pool);
      else groups.set(count, [pool]);
    }
    return [...groups].sort(([a], [b]) => a - b).map(([, pools]) => pools);
  }

  private score(record: EndpointRecord, unit: WorkUnit, size: Resources): number {
    const { view, available, failureRate } = record;
    const wastesAccelerators = view.size.accelerators > 0 && size.accelerators === 0;
    return (
      RACK_WEIGHT * this.spread.countInRack(unit.id, view) +
      ENDPOINT_WEIGHT * this.spread.countOnEndpoint(unit.id, view.id) +
      (wastesAccelerators ? ACCELERATOR_WEIGHT : 0) +
      FAILURE_WEIGHT * failureRate +
      dominantShare(subtractResources(view.size, available), view.size)
    );
  }
}
