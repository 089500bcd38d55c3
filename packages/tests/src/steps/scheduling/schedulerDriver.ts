import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import type { Resources } from '@lagoongap/model/resources.js';
import type { Attempt, AttemptOutcome, WorkUnit } from '@lagoongap/model/workload.js';
import type { Decision, EndpointView, Scheduler } from '@lagoongap/scheduling/scheduler.js';

import { PlacementChecker } from './placementChecker.js';

/** Forwards calls to a scheduler and to the checker, and collects the faults found. */
export class SchedulerDriver {
  readonly checker = new PlacementChecker();
  readonly faults: string[] = [];

  constructor(readonly scheduler: Scheduler) {}

  upsertEndpoint(view: EndpointView): void {
    this.checker.upsertEndpoint(view);
    this.scheduler.upsertEndpoint(view);
  }

  removeEndpoint(id: string): void {
    this.checker.removeEndpoint(id);
    this.scheduler.removeEndpoint(id);
  }

  setConfiguration(config: ClusterConfig): void {
    this.checker.setConfiguration(config);
    this.scheduler.setConfiguration(config);
  }

  enqueue(unit: WorkUnit): void {
    this.checker.enqueue(unit);
    this.scheduler.enqueue(unit);
  }

  cancel(unitId: string): void {
    const waits = this.checker.waiting.has(unitId);
    if (this.scheduler.cancel(unitId) !== waits) this.faults.push(`cancel of ${unitId} is wrong`);
    this.checker.cancel(unitId);
  }

  restore(attempt: Attempt, nowMs: number): void {
    this.checker.restore(attempt);
    this.scheduler.restore(attempt, nowMs);
  }

  release(attemptId: string, outcome: AttemptOutcome, nowMs: number): void {
    this.checker.release(attemptId);
    this.scheduler.release(attemptId, outcome, nowMs);
  }

  observe(attemptId: string, usage: Resources, nowMs: number): void {
    this.checker.observe(attemptId, usage);
    this.scheduler.observe(attemptId, usage, nowMs);
  }

  decide(nowMs: number, maxPlacements: number): Decision[] {
    const decisions = this.scheduler.decide(nowMs, maxPlacements);
    this.faults.push(...this.checker.check(decisions, maxPlacements));
    const { waiting } = this.scheduler.readStats();
    if (waiting !== this.checker.waiting.size) this.faults.push(`waiting count is ${waiting}`);
    return decisions;
  }
}
