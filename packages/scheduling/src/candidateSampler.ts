import { fitsInto } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { RandomSource } from './attemptFactory.js';
import type { EndpointPool } from './endpointPool.js';
import type { EndpointRecord } from './endpointRecord.js';

function accepts(record: EndpointRecord, size: Resources, excluded: readonly string[]): boolean {
  if (!fitsInto(size, record.available)) return false;
  return excluded.length === 0 || !excluded.includes(record.view.id);
}

function pick(pools: readonly EndpointPool[], index: number): EndpointRecord {
  let rest = index;
  for (const pool of pools) {
    if (rest < pool.records.length) return pool.records[rest]!;
    rest -= pool.records.length;
  }
  throw new RangeError(`no endpoint at index ${index}`);
}

/**
 * Draws endpoints that fit: all of them in a small fleet, a sample in a large
 * one. The best of a sample is close to the best of all, at a cost that does not
 * grow with the fleet.
 */
export class CandidateSampler {
  constructor(
    private readonly random: RandomSource,
    private readonly sampleSize: number,
    private readonly scanSize: number,
  ) {}

  /** Returns endpoints that fit; empty only if none of the pools has any. */
  collect(
    pools: readonly EndpointPool[],
    size: Resources,
    excluded: readonly string[],
  ): EndpointRecord[] {
    const open = pools.filter((pool) => pool.mightFit(size));
    const candidates: EndpointRecord[] = [];
    let total = 0;
    for (const pool of open) total += pool.records.length;
    if (total <= this.scanSize) {
      for (const pool of open) {
        for (const record of pool.records) {
          if (accepts(record, size, excluded)) candidates.push(record);
        }
      }
      return candidates;
    }
    for (let i = 0; i < this.sampleSize; i++) {
      const record = pick(open, Math.floor(this.random() * total));
      if (accepts(record, size, excluded)) candidates.push(record);
    }
    if (candidates.length > 0) return candidates;
    const found = this.search(open, size, excluded);
    return found ? [found] : [];
  }

  private search(
    pools: readonly EndpointPool[],
    size: Resources,
    excluded: readonly string[],
  ): EndpointRecord | undefined {
    const first = Math.floor(this.random() * pools.length);
    for (let i = 0; i < pools.length; i++) {
      const pool = pools[(first + i) % pools.length]!;
      const start = Math.floor(this.random() * pool.records.length);
      const found = pool.find(size, start, excluded);
      if (found) return found;
    }
    return undefined;
  }
}
