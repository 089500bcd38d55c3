import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { resolveWorks } from '@lagoongap/model/endpointRules.js';
import { RESOURCE_NAMES } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { Attempt, WorkUnit } from '@lagoongap/model/workload.js';
import type { Decision, EndpointView, PlaceDecision } from '@lagoongap/scheduling/scheduler.js';

interface ActiveAttempt {
  attempt: Attempt;
  reserved: Resources;
  isThrottled: boolean;
}

interface WaitingUnit {
  unit: WorkUnit;
  indexes: Set<number>;
}

/**
 * Checks from the history of calls and decisions whether a scheduler follows its rules,
 * independently of the state of the scheduler.
 */
export class PlacementChecker {
  private readonly endpoints = new Map<string, EndpointView>();
  readonly active = new Map<string, ActiveAttempt>();
  readonly waiting = new Map<string, WaitingUnit>();
  private config: ClusterConfig | undefined;

  upsertEndpoint(view: EndpointView): void {
    this.endpoints.set(view.id, view);
  }

  removeEndpoint(id: string): void {
    this.endpoints.delete(id);
  }

  setConfiguration(config: ClusterConfig): void {
    this.config = config;
  }

  enqueue(unit: WorkUnit): void {
    const indexes = this.waiting.get(unit.id)?.indexes ?? [];
    this.waiting.set(unit.id, { unit, indexes: new Set([...indexes, ...unit.indexes]) });
  }

  cancel(unitId: string): void {
    this.waiting.delete(unitId);
  }

  restore(attempt: Attempt): void {
    this.active.set(attempt.id, { attempt, reserved: { ...attempt.size }, isThrottled: false });
  }

  release(attemptId: string): void {
    this.active.delete(attemptId);
  }

  observe(attemptId: string, usage: Resources): void {
    const found = this.active.get(attemptId);
    if (!found) return;
    for (const name of RESOURCE_NAMES) {
      const isLowered = found.isThrottled && name === 'cpuMillis';
      found.reserved[name] = isLowered
        ? Math.ceil(usage[name])
        : Math.max(found.reserved[name], Math.ceil(usage[name]));
    }
  }

  /** Returns a description of each broken rule. */
  check(decisions: readonly Decision[], maxPlacements: number): string[] {
    const faults: string[] = [];
    const placements = decisions.filter((decision) => decision.type === 'place');
    const count = placements.reduce((sum, { attempts }) => sum + attempts.length, 0);
    const isLoneGang = placements.length === 1 && placements[0]!.unit.kind === 'gang';
    if (count > maxPlacements && !isLoneGang) faults.push(`${count} placements in one cycle`);
    for (const decision of decisions) {
      if (decision.type === 'reject') this.waiting.delete(decision.unit.id);
      if (decision.type === 'place') faults.push(...this.checkPlacement(decision));
      if (decision.type === 'preempt') {
        const found = this.active.get(decision.attemptId);
        if (!found) faults.push(`preempts ${decision.attemptId}, which is not active`);
        else if (decision.action === 'throttle') found.isThrottled = true;
      }
    }
    return faults;
  }

  private checkPlacement({ unit, attempts }: PlaceDecision): string[] {
    const faults: string[] = [];
    const waiting = this.waiting.get(unit.id);
    if (!waiting) return [`unit ${unit.id} is placed but does not wait`];
    if (unit.kind === 'gang' && attempts.length !== waiting.indexes.size) {
      faults.push(`gang ${unit.id} is placed in part`);
    }
    for (const attempt of attempts) {
      faults.push(...this.checkAttempt(attempt, waiting));
      this.restore(attempt);
      waiting.indexes.delete(attempt.taskIndex);
    }
    if (waiting.indexes.size === 0) this.waiting.delete(unit.id);
    return faults;
  }

  private checkAttempt(attempt: Attempt, { unit, indexes }: WaitingUnit): string[] {
    const faults: string[] = [];
    const { id, unitId, taskIndex, endpointId, team } = attempt;
    if (this.active.has(id)) faults.push(`attempt ${id} exists twice`);
    if (!indexes.has(taskIndex)) faults.push(`task ${unitId}#${taskIndex} does not wait`);
    const isDuplicate = [...this.active.values()].some(
      (other) => other.attempt.unitId === unitId && other.attempt.taskIndex === taskIndex,
    );
    if (isDuplicate) faults.push(`task ${unitId}#${taskIndex} is placed twice`);
    const endpoint = this.endpoints.get(endpointId);
    if (!endpoint || endpoint.state !== 'ready' || endpoint.ejected) {
      return [...faults, `endpoint ${endpointId} takes no work`];
    }
    if (unit.excluded.includes(endpointId)) faults.push(`endpoint ${endpointId} is excluded`);
    if (!resolveWorks(this.config!, endpoint).has(attempt.work)) {
      faults.push(`endpoint ${endpointId} is not granted ${attempt.work}`);
    }
    const onEndpoint = this.sum((other) => other.endpointId === endpointId);
    const ofTeam = this.sum((other) => other.team === team);
    const limit = this.config!.teams[team]?.limit ?? { tasks: 0 };
    for (const name of RESOURCE_NAMES) {
      if (onEndpoint.total[name] + attempt.size[name] > endpoint.size[name]) {
        faults.push(`endpoint ${endpointId} is overcommitted in ${name}`);
      }
      if (ofTeam.total[name] + attempt.size[name] > (limit[name] ?? Infinity)) {
        faults.push(`team ${team} exceeds its limit of ${name}`);
      }
    }
    if (ofTeam.count + 1 > (limit.tasks ?? Infinity)) {
      faults.push(`team ${team} exceeds its limit of tasks`);
    }
    return faults;
  }

  private sum(matches: (attempt: Attempt) => boolean): { total: Resources; count: number } {
    const total = { cpuMillis: 0, memoryMib: 0, accelerators: 0, slots: 0 };
    let count = 0;
    for (const { attempt, reserved } of this.active.values()) {
      if (!matches(attempt)) continue;
      count += 1;
      for (const name of RESOURCE_NAMES) total[name] += reserved[name];
    }
    return { total, count };
  }
}
