import { dominantShare, subtractResources } from '@lagoongap/model/resources.js';

import type { CandidateSampler } from './candidateSampler.js';
import type { EndpointCatalog } from './endpointCatalog.js';
import type { EndpointRecord } from './endpointRecord.js';
import type { PlacementPolicy, PlacementRequest } from './placementPolicy.js';
import type { ServiceTimeEstimator, WorkTimes } from './serviceTimeEstimator.js';

/** Weight of the failure rate in the expected delay of an endpoint. */
const FAILURE_WEIGHT = 8;

/**
 * Places each request on the endpoint with the lowest expected delay: its estimated service
 * time, scaled by its utilisation and failure rate.
 */
export class RequestPolicy implements PlacementPolicy {
  constructor(
    private readonly catalog: EndpointCatalog,
    private readonly sampler: CandidateSampler,
    private readonly serviceTimes: ServiceTimeEstimator,
  ) {}

  choose({ unit, size }: PlacementRequest): EndpointRecord[] {
    const pools = this.catalog.listPools(unit.work);
    const times = this.serviceTimes.getTimes(unit.work);
    let best: EndpointRecord | undefined;
    let bestDelay = Infinity;
    for (const candidate of this.sampler.sample(pools, size, unit.excluded)) {
      const delay = this.estimateDelay(candidate, times);
      if (delay < bestDelay) {
        best = candidate;
        bestDelay = delay;
      }
    }
    return best ? [best] : [];
  }

  private estimateDelay(
    { view, available, failureRate }: EndpointRecord,
    times: WorkTimes,
  ): number {
    const utilisation = dominantShare(subtractResources(view.size, available), view.size);
    return (
      this.serviceTimes.estimate(view, times) *
      (1 + utilisation) *
      (1 + FAILURE_WEIGHT * failureRate)
    );
  }
}
