import { resolveWorks } from '@lagoongap/model/endpointRules.js';
import { createEmptyConfig } from '@lagoongap/model/clusterConfig.js';
import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { NO_RESOURCES, addResources, dominantShare } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { Attempt, AttemptOutcome, WorkUnit } from '@lagoongap/model/workload.js';

import { createAttempt } from './attemptFactory.js';
import type { RandomSource } from './attemptFactory.js';
import { computePackingRatio } from './packingRatio.js';
import { PlacementLedger } from './placementLedger.js';
import { sizeKey } from './resourceMath.js';
import type { Decision, EndpointView, Scheduler, SchedulerStats } from './scheduler.js';

/** Endpoint with the kinds of work that it offers and is granted. */
export interface BaselineEndpoint {
  view: EndpointView;
  works: Set<string>;
}

/**
 * Baseline for comparison with other schedulers: places work in order of arrival, without fair
 * shares, preemption or estimated sizes. It respects upper limits, endpoint sizes and the
 * all-or-nothing placement of gangs.
 */
export abstract class BaselineScheduler implements Scheduler {
  private readonly ledger = new PlacementLedger();
  private readonly endpoints = new Map<string, BaselineEndpoint>();
  private readonly waiting = new Map<string, WorkUnit>();
  private readonly waitingByQueue = new Map<string, number>();
  private config: ClusterConfig = createEmptyConfig();

  constructor(protected readonly random: RandomSource) {}

  /** Returns an endpoint among those that fit, or undefined if none does. */
  protected abstract choose(
    endpoints: Iterable<BaselineEndpoint>,
    fits: (endpoint: BaselineEndpoint) => boolean,
  ): BaselineEndpoint | undefined;

  upsertEndpoint(view: EndpointView): void {
    this.endpoints.set(view.id, { view, works: resolveWorks(this.config, view) });
    this.ledger.setCapacity(view.id, view.size);
  }

  removeEndpoint(endpointId: string): void {
    this.endpoints.delete(endpointId);
    this.ledger.removeCapacity(endpointId);
  }

  setConfiguration(config: ClusterConfig): void {
    this.config = config;
    for (const endpoint of this.endpoints.values()) {
      endpoint.works = resolveWorks(config, endpoint.view);
    }
    for (const team of Object.values(config.teams)) this.ledger.setLimit(team.name, team.limit);
  }

  enqueue(unit: WorkUnit): void {
    const earlier = this.waiting.get(unit.id);
    if (earlier) {
      const indexes = [...new Set([...earlier.indexes, ...unit.indexes])];
      this.waiting.set(unit.id, { ...unit, indexes });
      return;
    }
    this.waiting.set(unit.id, { ...unit, indexes: [...unit.indexes] });
    this.waitingByQueue.set(unit.queue, this.countWaiting(unit.queue) + 1);
  }

  cancel(unitId: string): boolean {
    const unit = this.waiting.get(unitId);
    if (!unit) return false;
    this.waiting.delete(unitId);
    this.waitingByQueue.set(unit.queue, this.countWaiting(unit.queue) - 1);
    return true;
  }

  countWaiting(queue: string): number {
    return this.waitingByQueue.get(queue) ?? 0;
  }

  restore(attempt: Attempt, _nowMs: number): void {
    this.ledger.adopt(attempt);
  }

  release(attemptId: string, _outcome: AttemptOutcome, _nowMs: number): void {
    this.ledger.free(attemptId);
  }

  observe(attemptId: string, usage: Resources, _nowMs: number): void {
    this.ledger.observe(attemptId, usage);
  }

  decide(nowMs: number, maxPlacements: number): Decision[] {
    const decisions: Decision[] = [];
    const blocked = new Set<string>();
    let placed = 0;
    for (const unit of this.waiting.values()) {
      if (unit.deadlineAtMs !== undefined && unit.deadlineAtMs <= nowMs) {
        decisions.push(this.expire(unit));
        continue;
      }
      if (placed >= maxPlacements) continue;
      const attempts = this.tryPlace(unit, maxPlacements - placed, placed === 0, blocked, nowMs);
      if (attempts.length === 0) continue;
      placed += attempts.length;
      decisions.push({ type: 'place', unit, attempts });
    }
    return decisions;
  }

  readStats(): SchedulerStats {
    let total: Resources = NO_RESOURCES;
    for (const { view } of this.endpoints.values()) total = addResources(total, view.size);
    const teamShares: Record<string, number> = {};
    for (const team of this.ledger.listTeams()) {
      teamShares[team.name] = dominantShare(team.reserved, total);
    }
    return {
      waiting: this.waiting.size,
      running: this.ledger.size,
      teamShares,
      waitingByQueue: Object.fromEntries(this.waitingByQueue),
      packing: computePackingRatio(this.ledger.listEndpoints()),
    };
  }

  private expire(unit: WorkUnit): Decision {
    this.cancel(unit.id);
    const message = `unit ${unit.id} was not placed before its deadline`;
    return { type: 'reject', unit, reason: 'deadline-exceeded', message };
  }

  private tryPlace(
    unit: WorkUnit,
    maxAttempts: number,
    isFirst: boolean,
    blocked: Set<string>,
    nowMs: number,
  ): Attempt[] {
    const isGang = unit.kind === 'gang';
    const count = isGang ? unit.indexes.length : 1;
    const key = `${unit.team}|${unit.work}|${sizeKey(unit.size)}|${count}`;
    if (blocked.has(key) || !(unit.team in this.config.teams)) return [];
    // A gang larger than the maximum per scheduling cycle is placed alone in its cycle.
    if (isGang && unit.indexes.length > maxAttempts && !isFirst) return [];
    const attempts: Attempt[] = [];
    for (const index of unit.indexes) {
      if (!isGang && attempts.length >= maxAttempts) break;
      const attempt = this.placeTask(unit, index, nowMs);
      if (attempt) attempts.push(attempt);
      else if (!this.ledger.isTaskActive(unit.id, index)) {
        if (!isGang && unit.excluded.length === 0) blocked.add(key);
        break;
      }
    }
    if (isGang && attempts.length < unit.indexes.length) {
      for (const attempt of attempts) this.ledger.free(attempt.id);
      const isActive = unit.indexes.some((index) => this.ledger.isTaskActive(unit.id, index));
      if (!isActive && unit.excluded.length === 0) blocked.add(key);
      return [];
    }
    this.updateRemaining(unit, attempts);
    return attempts;
  }

  private placeTask(unit: WorkUnit, index: number, nowMs: number): Attempt | undefined {
    if (this.ledger.isTaskActive(unit.id, index)) return undefined;
    if (!this.ledger.fitsTeamLimit(unit.team, unit.size)) return undefined;
    const endpoint = this.choose(this.endpoints.values(), ({ view, works }) => {
      if (view.state !== 'ready' || view.ejected || !works.has(unit.work)) return false;
      if (unit.excluded.includes(view.id)) return false;
      return this.ledger.fitsEndpoint(view.id, unit.size);
    });
    if (!endpoint) return undefined;
    const attempt = createAttempt(unit, index, endpoint.view.id, unit.size, this.random);
    this.ledger.reserve(attempt, nowMs);
    return attempt;
  }

  private updateRemaining(unit: WorkUnit, attempts: Attempt[]): void {
    if (attempts.length === 0) return;
    const placed = new Set(attempts.map((attempt) => attempt.taskIndex));
    const indexes = unit.indexes.filter((index) => !placed.has(index));
    if (indexes.length === 0) this.cancel(unit.id);
    else this.waiting.set(unit.id, { ...unit, indexes });
  }
}
