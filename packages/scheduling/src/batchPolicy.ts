import { RESOURCE_NAMES, fitsInto } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { CandidateSampler } from './candidateSampler.js';
import type { EndpointCatalog } from './endpointCatalog.js';
import type { EndpointPool } from './endpointPool.js';
import type { EndpointRecord } from './endpointRecord.js';
import type { PlacementPolicy, PlacementRequest } from './placementPolicy.js';

/** Weight of failed attempts against unused capacity in the score of an endpoint. */
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
 * Packs work: takes the endpoint that has the least left over all dimensions.
 * Endpoints with accelerators are left to those who need them while others fit.
 */
export class BatchPolicy implements PlacementPolicy {
  /** Last choice by kind of work; filling it up first keeps other endpoints empty. */
  private readonly lastChoices = new Map<string, EndpointRecord>();

  constructor(
    private readonly catalog: EndpointCatalog,
    private readonly sampler: CandidateSampler,
  ) {}

  choose({ unit, size }: PlacementRequest): EndpointRecord[] {
    const pools = this.catalog.listPools(unit.work);
    const plain = pools.filter((pool) => !pool.hasAccelerators);
    const stages = size.accelerators > 0 || plain.length === 0 ? [pools] : [plain, pools];
    for (const stage of stages) {
      const best = this.chooseAmong(stage, unit.work, size, unit.excluded);
      if (best) {
        this.lastChoices.set(unit.work, best);
        return [best];
      }
    }
    return [];
  }

  private chooseAmong(
    pools: readonly EndpointPool[],
    work: string,
    size: Resources,
    excluded: readonly string[],
  ): EndpointRecord | undefined {
    const candidates = this.sampler.collect(pools, size, excluded);
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
