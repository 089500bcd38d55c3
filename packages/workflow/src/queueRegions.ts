import type { QueuePolicy } from './cellConfig.js';

/** Returns whether endpoints in a data centre may run the tasks of a queue. */
export function allowsDataCentre({ regions }: QueuePolicy, dataCentre: string): boolean {
  return !regions || regions.dataCentres.has(dataCentre);
}

/** Returns a key that is equal for queues whose tasks may run on the same endpoints. */
export function toEndpointSetKey({ pool, regions }: QueuePolicy): string {
  return regions ? JSON.stringify([pool, ...regions.names]) : pool;
}
