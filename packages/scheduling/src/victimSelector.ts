import { URGENT_PRIORITY } from '@lagoongap/model/clusterConfig.js';
import {
  NO_RESOURCES,
  RESOURCE_NAMES,
  addResources,
  dominantShare,
  subtractResources,
} from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { WorkloadKind } from '@lagoongap/model/workload.js';

import type { EndpointRecord } from './endpointRecord.js';
import type { Entitlements } from './entitlements.js';
import { listEvictionSteps } from './evictionTracker.js';
import type { EvictionTracker } from './evictionTracker.js';
import type { LedgerEntry, PlacementLedger } from './placementLedger.js';
import { accumulate } from './resourceMath.js';

/** Place that is wanted on an endpoint. */
export interface WantedPlace {
  team: string;
  size: Resources;
  isUrgent: boolean;
}

/** Attempts that have to give way for one task. */
export interface VictimChoice {
  victims: LedgerEntry[];
  /** Less processor time alone would do. */
  isThrottleUseful: boolean;
  /** Damage done; the lowest is best. */
  cost: number;
}

/** Order in which kinds give way; requests never do. */
const KIND_RANK: Readonly<Record<WorkloadKind, number>> = {
  batch: 0,
  gang: 1,
  service: 2,
  request: 3,
};

// A rank outweighs any size, so that services are the last to be stopped.
const RANK_COST = 1e6;
const SIZE_COST = 100;

function isMet(deficit: Resources): boolean {
  return RESOURCE_NAMES.every((name) => deficit[name] <= 0);
}

function helps(size: Resources, deficit: Resources): boolean {
  return RESOURCE_NAMES.some((name) => deficit[name] > 0 && size[name] > 0);
}

function compareVictims(a: LedgerEntry, b: LedgerEntry): number {
  return (
    KIND_RANK[a.attempt.kind] - KIND_RANK[b.attempt.kind] ||
    a.attempt.priority - b.attempt.priority ||
    b.sequence - a.sequence
  );
}

/** Chooses which attempts on an endpoint have to give way, and no more than needed. */
export class VictimSelector {
  constructor(
    private readonly ledger: PlacementLedger,
    private readonly evictions: EvictionTracker,
  ) {}

  /**
   * Returns the victims for one task on one endpoint, or undefined if they would not suffice.
   *
   * @param yielded - Held capacity that the wanted place may take over.
   */
  choose(
    record: EndpointRecord,
    wanted: WantedPlace,
    yielded: Resources,
    entitlements: Entitlements,
  ): VictimChoice | undefined {
    const account = this.ledger.findEndpoint(record.view.id);
    if (!account) return undefined;
    const entries = [...account.entries.values()];
    const deficit = this.measureDeficit(record, wanted.size, yielded, entries);
    const candidates = this.listCandidates(record, wanted, entries, entitlements);
    if (!this.canMeet(deficit, candidates)) return undefined;
    const isThrottleUseful = RESOURCE_NAMES.every(
      (name) => name === 'cpuMillis' || deficit[name] <= 0,
    );
    const chosen: LedgerEntry[] = [];
    const taken = new Map<string, Resources>();
    for (const entry of candidates.sort(compareVictims)) {
      if (isMet(deficit)) break;
      if (!helps(entry.reserved, deficit)) continue;
      const { team } = entry.attempt;
      const lost = addResources(taken.get(team) ?? NO_RESOURCES, entry.reserved);
      if (!wanted.isUrgent && !entitlements.mayLose(team, lost)) continue;
      taken.set(team, lost);
      accumulate(deficit, entry.reserved, -1);
      chosen.push(entry);
    }
    if (!isMet(deficit)) return undefined;
    const victims = this.completeGangs(this.dropNeedless(chosen, deficit));
    return { victims, isThrottleUseful, cost: this.measureCost(record, victims) };
  }

  private measureDeficit(
    record: EndpointRecord,
    size: Resources,
    yielded: Resources,
    entries: readonly LedgerEntry[],
  ): Resources {
    const deficit = subtractResources(size, record.available);
    accumulate(deficit, yielded, -1);
    for (const entry of entries) {
      if (this.evictions.isEvicting(entry.attempt.id)) accumulate(deficit, entry.reserved, -1);
    }
    return deficit;
  }

  private listCandidates(
    record: EndpointRecord,
    wanted: WantedPlace,
    entries: readonly LedgerEntry[],
    entitlements: Entitlements,
  ): LedgerEntry[] {
    if (listEvictionSteps(record.view.capabilities, false).length === 0) return [];
    return entries.filter(({ attempt }) => {
      if (attempt.kind === 'request' || attempt.priority >= URGENT_PRIORITY) return false;
      if (!wanted.isUrgent && !entitlements.isOverShare(attempt.team)) return false;
      if (!wanted.isUrgent && attempt.team === wanted.team) return false;
      return !this.evictions.isEvicting(attempt.id);
    });
  }

  /** Tells whether all candidates together would suffice; saves sorting them if not. */
  private canMeet(deficit: Resources, candidates: readonly LedgerEntry[]): boolean {
    const rest = { ...deficit };
    for (const { reserved } of candidates) accumulate(rest, reserved, -1);
    return isMet(rest);
  }

  /** Leaves out victims that became needless once larger ones were chosen. */
  private dropNeedless(chosen: readonly LedgerEntry[], surplus: Resources): LedgerEntry[] {
    const kept = [...chosen];
    for (const entry of [...chosen].reverse()) {
      const without = addResources(surplus, entry.reserved);
      if (!isMet(without)) continue;
      accumulate(surplus, entry.reserved, 1);
      kept.splice(kept.indexOf(entry), 1);
    }
    return kept;
  }

  /** A gang is of no use without one of its tasks, so the others give way too. */
  private completeGangs(victims: readonly LedgerEntry[]): LedgerEntry[] {
    const all = new Set(victims);
    for (const { attempt } of victims) {
      if (attempt.kind !== 'gang') continue;
      for (const sibling of this.ledger.listUnitEntries(attempt.unitId)) all.add(sibling);
    }
    return [...all];
  }

  private measureCost(record: EndpointRecord, victims: readonly LedgerEntry[]): number {
    let rank = 0;
    let size = 0;
    for (const { attempt, reserved } of victims) {
      rank = Math.max(rank, KIND_RANK[attempt.kind]);
      size += dominantShare(reserved, record.view.size);
    }
    return RANK_COST * rank + SIZE_COST * size + victims.length;
  }
}
