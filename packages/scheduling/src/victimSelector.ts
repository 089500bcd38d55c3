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

/** Capacity that a team needs for one task. */
export interface CapacityDemand {
  team: string;
  size: Resources;
  isUrgent: boolean;
}

/** Attempts that are preempted for one task. */
export interface VictimChoice {
  victims: LedgerEntry[];
  /** Whether a reduction of processor time alone frees enough capacity. */
  isThrottleUseful: boolean;
  /** Cost of the preemption; the choice with the lowest cost is the best. */
  cost: number;
}

/** Order in which kinds are preempted; requests are never preempted. */
const KIND_EVICTION_RANK: Readonly<Record<WorkloadKind, number>> = {
  batch: 0,
  gang: 1,
  service: 2,
  request: 3,
};

// The rank outweighs any size, so that services are stopped last.
const RANK_COST = 1e6;
const SIZE_COST = 100;

function isDeficitMet(deficit: Resources): boolean {
  return RESOURCE_NAMES.every((name) => deficit[name] <= 0);
}

function reducesDeficit(size: Resources, deficit: Resources): boolean {
  return RESOURCE_NAMES.some((name) => deficit[name] > 0 && size[name] > 0);
}

function compareVictims(a: LedgerEntry, b: LedgerEntry): number {
  return (
    KIND_EVICTION_RANK[a.attempt.kind] - KIND_EVICTION_RANK[b.attempt.kind] ||
    a.attempt.priority - b.attempt.priority ||
    b.sequence - a.sequence
  );
}

/** Chooses the attempts on an endpoint to preempt, and no more than needed. */
export class VictimSelector {
  constructor(
    private readonly ledger: PlacementLedger,
    private readonly evictions: EvictionTracker,
  ) {}

  /**
   * Returns the victims for one task on one endpoint, or undefined if they would not suffice.
   *
   * @param transferable - Held capacity that the task may take over.
   */
  choose(
    record: EndpointRecord,
    demand: CapacityDemand,
    transferable: Resources,
    entitlements: Entitlements,
  ): VictimChoice | undefined {
    const account = this.ledger.findEndpoint(record.view.id);
    if (!account) return undefined;
    const entries = [...account.entries.values()];
    const deficit = this.computeDeficit(record, demand.size, transferable, entries);
    const candidates = this.listCandidates(record, demand, entries, entitlements);
    if (!this.canCoverDeficit(deficit, candidates)) return undefined;
    const isThrottleUseful = RESOURCE_NAMES.every(
      (name) => name === 'cpuMillis' || deficit[name] <= 0,
    );
    const chosen: LedgerEntry[] = [];
    const lostByTeam = new Map<string, Resources>();
    for (const entry of candidates.sort(compareVictims)) {
      if (isDeficitMet(deficit)) break;
      if (!reducesDeficit(entry.reserved, deficit)) continue;
      const { team } = entry.attempt;
      const lost = addResources(lostByTeam.get(team) ?? NO_RESOURCES, entry.reserved);
      if (!demand.isUrgent && !entitlements.canYield(team, lost)) continue;
      lostByTeam.set(team, lost);
      accumulate(deficit, entry.reserved, -1);
      chosen.push(entry);
    }
    if (!isDeficitMet(deficit)) return undefined;
    const victims = this.addGangSiblings(this.dropUnneeded(chosen, deficit));
    return { victims, isThrottleUseful, cost: this.computeCost(record, victims) };
  }

  private computeDeficit(
    record: EndpointRecord,
    size: Resources,
    transferable: Resources,
    entries: readonly LedgerEntry[],
  ): Resources {
    const deficit = subtractResources(size, record.available);
    accumulate(deficit, transferable, -1);
    for (const entry of entries) {
      if (this.evictions.isEvicting(entry.attempt.id)) accumulate(deficit, entry.reserved, -1);
    }
    return deficit;
  }

  private listCandidates(
    record: EndpointRecord,
    demand: CapacityDemand,
    entries: readonly LedgerEntry[],
    entitlements: Entitlements,
  ): LedgerEntry[] {
    if (listEvictionSteps(record.view.capabilities, false).length === 0) return [];
    return entries.filter(({ attempt }) => {
      if (attempt.kind === 'request' || attempt.priority >= URGENT_PRIORITY) return false;
      if (!demand.isUrgent && !entitlements.isOverShare(attempt.team)) return false;
      if (!demand.isUrgent && attempt.team === demand.team) return false;
      return !this.evictions.isEvicting(attempt.id);
    });
  }

  /** Returns whether all candidates together would suffice; saves sorting them if not. */
  private canCoverDeficit(deficit: Resources, candidates: readonly LedgerEntry[]): boolean {
    const remaining = { ...deficit };
    for (const { reserved } of candidates) accumulate(remaining, reserved, -1);
    return isDeficitMet(remaining);
  }

  /** Leaves out victims that are no longer needed after larger ones were chosen. */
  private dropUnneeded(chosen: readonly LedgerEntry[], surplus: Resources): LedgerEntry[] {
    const remaining = [...chosen];
    for (const entry of [...chosen].reverse()) {
      const without = addResources(surplus, entry.reserved);
      if (!isDeficitMet(without)) continue;
      accumulate(surplus, entry.reserved, 1);
      remaining.splice(remaining.indexOf(entry), 1);
    }
    return remaining;
  }

  /** Adds the other tasks of preempted gangs, as a gang cannot run without all its tasks. */
  private addGangSiblings(victims: readonly LedgerEntry[]): LedgerEntry[] {
    const all = new Set(victims);
    for (const { attempt } of victims) {
      if (attempt.kind !== 'gang') continue;
      for (const sibling of this.ledger.listUnitEntries(attempt.unitId)) all.add(sibling);
    }
    return [...all];
  }

  private computeCost(record: EndpointRecord, victims: readonly LedgerEntry[]): number {
    let rank = 0;
    let size = 0;
    for (const { attempt, reserved } of victims) {
      rank = Math.max(rank, KIND_EVICTION_RANK[attempt.kind]);
      size += dominantShare(reserved, record.view.size);
    }
    return RANK_COST * rank + SIZE_COST * size + victims.length;
  }
}
