import { fitsInto } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { RandomSource } from './attemptFactory.js';
import type { EndpointPool } from './endpointPool.js';
import type { EndpointRecord } from './endpointRecord.js';

function isEligible(record: EndpointRecord, size: Resources, excluded: readonly string[]): boolean {
  if (!fitsInto(size, record.available)) return false;
  return excluded.length === 0 || !excluded.includes(record.view.id);
}

function findByIndex(pools: readonly EndpointPool[], index: number): EndpointRecord {
  let rest = index;
  for (const pool of pools) {
    if (rest < pool.records.length) return pool.records[rest]!;
    rest -= pool.records.length;
  }
  throw new RangeError(`no endpoint at index ${index}`);
}

/**
 * Lists candidate endpoints that fit: all of them in a small fleet, a random sample in a large
 * one. The best of a sample is close to the best of all, at a cost that does not grow with the
 * fleet.
 */
export class CandidateSampler {
  constructor(
    private readonly random: RandomSource,
    private readonly sampleSize: number,
    private readonly fullScanThreshold: number,
  ) {}

  /** Returns endpoints that fit; empty only if no endpoint of the pools fits. */
  sample(
    pools: readonly EndpointPool[],
    size: Resources,
    excluded: readonly string[],
  ): EndpointRecord[] {
    const fittingPools = pools.filter((pool) => pool.mightFit(size));
    const candidates: EndpointRecord[] = [];
    let total = 0;
    for (const pool of fittingPools) total += pool.records.length;
    if (total <= this.fullScanThreshold) {
      for (const pool of fittingPools) {
        for (const record of pool.records) {
          if (isEligible(record, size, excluded)) candidates.push(record);
        }
      }
      return candidates;
    }
    for (let i = 0; i < this.sampleSize; i++) {
      const record = findByIndex(fittingPools, Math.floor(this.random() * total));
      if (isEligible(record, size, excluded)) candidates.push(record);
    }
    if (candidates.length > 0) return candidates;
    const found = this.search(fittingPools, size, excluded);
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
      const found = pool.findFit(size, start, excluded);
      if (found) return found;
    }
    return undefined;
  }
}
