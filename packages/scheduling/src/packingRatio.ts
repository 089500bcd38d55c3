import { NO_RESOURCES, RESOURCE_NAMES } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { EndpointAccount } from './placementLedger.js';
import { accumulate } from './resourceMath.js';

/** Returns reserved over total capacity per dimension for the endpoints that run any attempt. */
export function computePackingRatio(accounts: Iterable<EndpointAccount>): Resources {
  const reserved = { ...NO_RESOURCES };
  const capacity = { ...NO_RESOURCES };
  for (const account of accounts) {
    if (!account.isRegistered || account.entries.size === 0) continue;
    accumulate(reserved, account.reserved, 1);
    accumulate(capacity, account.capacity, 1);
  }
  const packing = { ...NO_RESOURCES };
  for (const name of RESOURCE_NAMES) {
    if (capacity[name] > 0) packing[name] = reserved[name] / capacity[name];
  }
  return packing;
}
