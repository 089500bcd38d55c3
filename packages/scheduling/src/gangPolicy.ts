import { addResources } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { EndpointCatalog } from './endpointCatalog.js';
import type { EndpointRecord } from './endpointRecord.js';
import type { Hold } from './holdTable.js';
import type { PlacementPolicy, PlacementRequest } from './placementPolicy.js';
import { countFits } from './resourceMath.js';

interface Candidate {
  record: EndpointRecord;
  /** Number of tasks that fit at the same time. */
  fits: number;
}

function sumFits(candidates: readonly Candidate[]): number {
  return candidates.reduce((sum, { fits }) => sum + fits, 0);
}

function groupByDataCentre(candidates: readonly Candidate[]): Candidate[][] {
  const groups = new Map<string, Candidate[]>();
  for (const candidate of candidates) {
    const { dataCentre } = candidate.record.view;
    const group = groups.get(dataCentre);
    if (group) group.push(candidate);
    else groups.set(dataCentre, [candidate]);
  }
  return [...groups.values()];
}

function sumAvailable(record: EndpointRecord, holds: readonly Hold[]): Resources {
  return holds
    .filter((hold) => hold.record === record)
    .reduce((sum, hold) => addResources(sum, hold.size), record.available);
}

/**
 * Places all tasks of a gang or none: in one data centre if one has enough free capacity,
 * and on as few endpoints as possible.
 */
export class GangPolicy implements PlacementPolicy {
  constructor(private readonly catalog: EndpointCatalog) {}

  choose(request: PlacementRequest): EndpointRecord[] {
    const candidates = this.listCandidates(request);
    if (sumFits(candidates) < request.count) return [];
    const smallest = groupByDataCentre(candidates)
      .filter((group) => sumFits(group) >= request.count)
      .sort((a, b) => sumFits(a) - sumFits(b))[0];
    return this.chooseFrom(smallest ?? candidates, request);
  }

  private listCandidates({ unit, size, count, holds }: PlacementRequest): Candidate[] {
    const candidates: Candidate[] = [];
    const addCandidate = (record: EndpointRecord): void => {
      if (unit.excluded.includes(record.view.id)) return;
      const available = holds.length > 0 ? sumAvailable(record, holds) : record.available;
      const fits = Math.min(count, countFits(size, available));
      if (fits > 0) candidates.push({ record, fits });
    };
    const heldRecords = new Set(holds.map((hold) => hold.record));
    for (const record of heldRecords) if (record.pool?.works.has(unit.work)) addCandidate(record);
    for (const pool of this.catalog.listPools(unit.work)) {
      pool.forEachFit(size, (record) => {
        if (!heldRecords.has(record)) addCandidate(record);
      });
    }
    return candidates;
  }

  private chooseFrom(candidates: Candidate[], { size, count }: PlacementRequest): EndpointRecord[] {
    const wastesAccelerators = ({ record }: Candidate): number =>
      record.view.size.accelerators > 0 && size.accelerators === 0 ? 1 : 0;
    candidates.sort((a, b) => wastesAccelerators(a) - wastesAccelerators(b) || b.fits - a.fits);
    const chosen: EndpointRecord[] = [];
    for (const { record, fits } of candidates) {
      for (let i = 0; i < fits && chosen.length < count; i++) chosen.push(record);
    }
    return chosen;
  }
}
