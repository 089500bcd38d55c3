import { NO_RESOURCES, addResources, fitsInto } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { WorkUnit } from '@lagoongap/model/workload.js';

import type { RandomSource } from './attemptFactory.js';
import type { EndpointCatalog } from './endpointCatalog.js';
import type { EndpointRecord } from './endpointRecord.js';
import type { Entitlements } from './entitlements.js';
import { listEvictionSteps } from './evictionTracker.js';
import type { EvictionTracker } from './evictionTracker.js';
import type { HoldTable } from './holdTable.js';
import type { SchedulerOptions } from './schedulerOptions.js';
import type { VictimChoice, VictimSelector, CapacityDemand } from './victimSelector.js';

/** Endpoints compared for one task; enough to find victims of low cost in a large fleet. */
const MAX_COMPARED_ENDPOINTS = 32;

/** Number of endpoints with sufficient victims at which the search ends. */
const MAX_VIABLE_ENDPOINTS = 6;

interface PreemptionPlan {
  record: EndpointRecord;
  choice: VictimChoice;
}

/**
 * Preempts attempts for urgent work and for teams under their share, and holds the freed
 * capacity for the unit that it is freed for.
 */
export class PreemptionPlanner {
  constructor(
    private readonly catalog: EndpointCatalog,
    private readonly holds: HoldTable,
    private readonly evictions: EvictionTracker,
    private readonly selector: VictimSelector,
    private readonly random: RandomSource,
    private readonly opts: SchedulerOptions,
  ) {}

  /**
   * Preempts other attempts for `count` tasks of a unit, for all of them or none if the unit
   * is a gang. Returns the number of tasks for which capacity will become free.
   */
  plan(
    unit: WorkUnit,
    size: Resources,
    count: number,
    isUrgent: boolean,
    entitlements: Entitlements,
    nowMs: number,
  ): number {
    const demand: CapacityDemand = { team: unit.team, size, isUrgent };
    let planned = 0;
    while (planned < count) {
      // Capacity that is held for the team already counts towards its share.
      const claimed = addResources(this.holds.sumTeam(unit.team), size);
      if (!isUrgent && !entitlements.canReclaim(unit.team, claimed)) break;
      const plan = this.findPlan(unit, demand, entitlements);
      if (!plan) break;
      this.execute(unit, demand, plan, nowMs);
      planned += 1;
    }
    if (unit.kind === 'gang' && planned < count) {
      this.cancel(unit.id);
      return 0;
    }
    return planned;
  }

  /** Cancels the holds and evictions for a unit. */
  cancel(unitId: string): void {
    this.holds.dropUnit(unitId);
    this.evictions.cancelForBeneficiary(unitId);
  }

  private findPlan(
    unit: WorkUnit,
    demand: CapacityDemand,
    entitlements: Entitlements,
  ): PreemptionPlan | undefined {
    let best: PreemptionPlan | undefined;
    let viableCount = 0;
    for (const record of this.sampleEndpoints(unit, demand.size)) {
      if (viableCount >= MAX_VIABLE_ENDPOINTS) break;
      const transferable = demand.isUrgent ? this.sumTransferableHolds(record) : NO_RESOURCES;
      const choice = this.selector.choose(record, demand, transferable, entitlements);
      if (choice) viableCount += 1;
      if (choice && (!best || choice.cost < best.choice.cost)) best = { record, choice };
    }
    return best;
  }

  private sampleEndpoints(unit: WorkUnit, size: Resources): EndpointRecord[] {
    const chosen: EndpointRecord[] = [];
    const pools = this.catalog.listPools(unit.work);
    const perPool = Math.ceil(MAX_COMPARED_ENDPOINTS / Math.max(1, pools.length));
    for (const { records } of pools) {
      const start = Math.floor(this.random() * records.length);
      for (let i = 0; i < Math.min(perPool, records.length); i++) {
        const record = records[(start + i) % records.length]!;
        if (!fitsInto(size, record.view.size) || unit.excluded.includes(record.view.id)) continue;
        chosen.push(record);
      }
    }
    return chosen;
  }

  private sumTransferableHolds(record: EndpointRecord): Resources {
    return this.holds
      .listTransferable(record)
      .reduce((sum, hold) => addResources(sum, hold.size), NO_RESOURCES);
  }

  private execute(
    unit: WorkUnit,
    demand: CapacityDemand,
    plan: PreemptionPlan,
    nowMs: number,
  ): void {
    const { record, choice } = plan;
    const { isUrgent, size } = demand;
    if (isUrgent) this.dropTransferableHolds(record, size);
    const reason = isUrgent
      ? `preempted for urgent unit ${unit.id}`
      : `team ${unit.team} reclaims its share for unit ${unit.id}`;
    for (const entry of choice.victims) {
      const endpoint = this.catalog.find(entry.attempt.endpointId);
      if (!endpoint) continue;
      const steps = listEvictionSteps(endpoint.view.capabilities, choice.isThrottleUseful);
      if (steps.length === 0) continue;
      const stepIntervalMs = isUrgent
        ? this.opts.urgentStepIntervalMs
        : this.opts.preemptStepIntervalMs;
      this.evictions.start({ entry, steps, stepIntervalMs, reason, beneficiary: unit.id }, nowMs);
    }
    const expiresAtMs = nowMs + this.opts.preemptionHoldMs;
    const { id: unitId, team } = unit;
    this.holds.add({ unitId, team, record, size: { ...size }, isUrgent, expiresAtMs });
  }

  private dropTransferableHolds(record: EndpointRecord, size: Resources): void {
    for (const hold of this.holds.listTransferable(record)) {
      if (fitsInto(size, record.available)) return;
      this.holds.drop(hold);
    }
  }
}
