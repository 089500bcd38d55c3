import { RESOURCE_NAMES, fitsInto } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { CandidateSampler } from './candidateSampler.js';
import type { EndpointCatalog } from './endpointCatalog.js';
import type { EndpointPool } from './endpointPool.js';
import type { EndpointRecord } from './endpointRecord.js';
import type { PlacementPolicy, PlacementRequest } from './placementPolicy.js';

/** Weight of the failure rate relative to unused capacity in the score of an endpoint. */
const FAILURE_WEIGHT = 4;

function scoreFit(record: EndpointRecord, size: Resources): number {
  let unused = 0;
  const capacity = record.view.size;
  for (const name of RESOURCE_NAMES) {
    if (capacity[name] > 0) unused += (record.available[name] - size[name]) / capacity[name];
  }
  return unused + FAILURE_WEIGHT * record.failureRate;
}

/**
 * Best-fit packing: chooses the endpoint with the least capacity left, summed over all
 * dimensions. Work without accelerators uses an endpoint with accelerators only if no other fits.
 */
export class BatchPolicy implements PlacementPolicy {
  /** Last chosen endpoint by kind of work; filling it up first keeps other endpoints empty. */
  private readonly lastChoices = new Map<string, EndpointRecord>();

  constructor(
    private readonly catalog: EndpointCatalog,
    private readonly sampler: CandidateSampler,
  ) {}

  choose({ unit, size }: PlacementRequest): EndpointRecord[] {
    const pools = this.catalog.listPools(unit.work);
    const poolsWithoutAccelerators = pools.filter((pool) => !pool.hasAccelerators);
    const stages =
      size.accelerators > 0 || poolsWithoutAccelerators.length === 0
        ? [pools]
        : [poolsWithoutAccelerators, pools];
    for (const stage of stages) {
      const best = this.chooseFrom(stage, unit.work, size, unit.excluded);
      if (best) {
        this.lastChoices.set(unit.work, best);
        return [best];
      }
    }
    return [];
  }

  private chooseFrom(
    pools: readonly EndpointPool[],
    work: string,
    size: Resources,
    excluded: readonly string[],
  ): EndpointRecord | undefined {
    const candidates = this.sampler.sample(pools, size, excluded);
    const last = this.lastChoices.get(work);
    if (last?.pool && pools.includes(last.pool) && !excluded.includes(last.view.id)) {
      if (fitsInto(size, last.available)) candidates.push(last);
    }
    let best: EndpointRecord | undefined;
    let bestScore = Infinity;
    for (const candidate of candidates) {
      const score = scoreFit(candidate, size);
      if (score < bestScore) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }
}
