import type { Resources } from '@lagoongap/model/resources.js';

import type { EndpointPool } from './endpointPool.js';
import type { EndpointView } from './scheduler.js';

/** An endpoint in the catalog. */
export interface EndpointRecord {
  view: EndpointView;
  /** Largest size in each dimension since its registration; the endpoint may grow back to it. */
  largestSize: Resources;
  /** Kinds of work that it offers and is granted. */
  works: ReadonlySet<string>;
  /** Capacity that is neither reserved nor held; dimensions may be negative. */
  available: Resources;
  /** Sum of the holds for waiting work. */
  readonly held: Resources;
  /** Moving average of failed attempts, from 0 to 1. */
  failureRate: number;
  /** Pool of the endpoint; absent while it accepts no new work. */
  pool: EndpointPool | undefined;
  position: number;
}
