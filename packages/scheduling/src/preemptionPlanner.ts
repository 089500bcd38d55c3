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
import type { VictimChoice, VictimSelector, WantedPlace } from './victimSelector.js';

/** Endpoints that are compared for one task; enough to find cheap victims in a large fleet. */
const MAX_ENDPOINTS = 32;

/** Endpoints with sufficient victims after which the search ends. */
const ENOUGH_CHOICES = 6;

interface Plan {
  record: EndpointRecord;
  choice: VictimChoice;
}

/**
 * Takes capacity back for urgent work and for teams under their share, and
 * holds the freed place for the unit it is freed for.
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
   * Has other attempts give way for `count` tasks of a unit; a gang needs all
   * of them. Returns the number of tasks for which places will become free.
   */
  plan(
    unit: WorkUnit,
    size: Resources,
    count: number,
    isUrgent: boolean,
    entitlements: Entitlements,
    nowMs: number,
  ): number {
    const wanted: WantedPlace = { team: unit.team, size, isUrgent };
    let planned = 0;
    while (planned < count) {
      // Places that are held for the team already count as its own.
      const claimed = addResources(this.holds.sumTeam(unit.team), size);
      if (!isUrgent && !entitlements.mayReclaim(unit.team, claimed)) break;
      const plan = this.findPlan(unit, wanted, entitlements);
      if (!plan) break;
      this.carryOut(unit, wanted, plan, nowMs);
      planned += 1;
    }
    if (unit.kind === 'gang' && planned < count) {
      this.cancel(unit.id);
      return 0;
    }
    return planned;
  }

  /** Gives up what is under way for a unit. */
  cancel(unitId: string): void {
    this.holds.dropUnit(unitId);
    this.evictions.cancelFor(unitId);
  }

  private findPlan(
    unit: WorkUnit,
    wanted: WantedPlace,
    entitlements: Entitlements,
  ): Plan | undefined {
    let best: Plan | undefined;
    let found = 0;
    for (const record of this.listRecords(unit, wanted.size)) {
      if (found >= ENOUGH_CHOICES) break;
      const yielded = wanted.isUrgent ? this.sumYielding(record) : NO_RESOURCES;
      const choice = this.selector.choose(record, wanted, yielded, entitlements);
      if (choice) found += 1;
      if (choice && (!best || choice.cost < best.choice.cost)) best = { record, choice };
    }
    return best;
  }

  private listRecords(unit: WorkUnit, size: Resources): EndpointRecord[] {
    const chosen: EndpointRecord[] = [];
    const pools = this.catalog.listPools(unit.work);
    const perPool = Math.ceil(MAX_ENDPOINTS / Math.max(1, pools.length));
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

  private sumYielding(record: EndpointRecord): Resources {
    return this.holds
      .listYielding(record)
      .reduce((sum, hold) => addResources(sum, hold.size), NO_RESOURCES);
  }

  private carryOut(unit: WorkUnit, wanted: WantedPlace, plan: Plan, nowMs: number): void {
    const { record, choice } = plan;
    const { isUrgent, size } = wanted;
    if (isUrgent) this.takeOverHolds(record, size);
    const reason = isUrgent
      ? `urgent unit ${unit.id} needs the place`
      : `team ${unit.team} takes back its share for unit ${unit.id}`;
    for (const entry of choice.victims) {
      const endpoint = this.catalog.find(entry.attempt.endpointId);
      if (!endpoint) continue;
      const steps = listEvictionSteps(endpoint.view.capabilities, choice.isThrottleUseful);
      if (steps.length === 0) continue;
      const pauseMs = isUrgent ? this.opts.urgentPauseMs : this.opts.preemptPauseMs;
      this.evictions.start({ entry, steps, pauseMs, reason, beneficiary: unit.id }, nowMs);
    }
    const expiresAtMs = nowMs + this.opts.holdMs;
    const { id: unitId, team } = unit;
    this.holds.add({ unitId, team, record, size: { ...size }, isUrgent, expiresAtMs });
  }

  private takeOverHolds(record: EndpointRecord, size: Resources): void {
    for (const hold of this.holds.listYielding(record)) {
      if (fitsInto(size, record.available)) return;
      this.holds.drop(hold);
    }
  }
}
