import type { Resources } from '@lagoongap/model/resources.js';
import type { WorkUnit } from '@lagoongap/model/workload.js';

import type { EndpointRecord } from './endpointRecord.js';
import type { Hold } from './holdTable.js';

/** Tasks of one unit that need endpoints. */
export interface PlacementRequest {
  unit: WorkUnit;
  /** Size to reserve for each task. */
  size: Resources;
  count: number;
  /** Capacity that is held for the unit. */
  holds: readonly Hold[];
}

/** Chooses endpoints for one kind of workload. */
export interface PlacementPolicy {
  /**
   * Returns an endpoint for each task. Fewer than `count` means that no more fit at present;
   * a gang gets all or none.
   */
  choose(request: PlacementRequest): EndpointRecord[];
}
