import type { Log } from '@lagoongap/model/log.js';
import type { Attempt, WorkUnit } from '@lagoongap/model/workload.js';
import type {
  Decision,
  PlaceDecision,
  PreemptDecision,
  RejectDecision,
  Scheduler,
} from '@lagoongap/scheduling/scheduler.js';
import type { StartAttemptResult, StartedAttempt } from '@lagoongap/state/commands.js';
import type { AttemptRecord } from '@lagoongap/state/records.js';
import type { Metrics } from '@lagoongap/telemetry/metrics.js';

import type { CommitQueue } from './commitQueue.js';
import type { ValidityGuard } from './validityGuard.js';

/** Details of a unit that the pipeline needs but the scheduler does not. */
export interface UnitDetails {
  /** Job or request that the unit belongs to. */
  ownerId: string;
  noRepeat: boolean;
  /** Gateway process that dispatches the attempt of a request. */
  owner?: string;
  idempotencyKey?: string;
  /** Time that the caller allows for a request, in milliseconds. */
  deadlineMs?: number;
}

/** Receives the decisions of the scheduler and the results of their commits. */
export interface PlacementListener {
  /** Called when an attempt is committed and may be dispatched. */
  handleStarted(attempt: AttemptRecord): void;
  /** Called when an attempt was rejected on commit and will not start. */
  handleObsolete(attempt: StartedAttempt, result: StartAttemptResult): void;
  handleRejected(unit: WorkUnit, details: UnitDetails, decision: RejectDecision): void;
  handlePreempted(decision: PreemptDecision): void;
}

/** Options of {@link PlacementPipeline}. */
export interface PlacementPipelineOptions {
  scheduler: Scheduler;
  commits: CommitQueue;
  guard: ValidityGuard;
  listener: PlacementListener;
  /** Maximum number of attempts that are decided in one scheduling cycle. */
  maxBatch: number;
  log: Log;
  metrics: Metrics;
}

/**
 * Runs scheduling cycles: each cycle has the scheduler decide on a batch of waiting units and
 * commits the placements together.
 */
export class PlacementPipeline {
  private readonly opts: PlacementPipelineOptions;
  private readonly details = new Map<string, UnitDetails>();
  private isScheduled = false;

  constructor(opts: PlacementPipelineOptions) {
    this.opts = opts;
  }

  /** Adds a unit to its queue and schedules a cycle. */
  enqueue(unit: WorkUnit, details: UnitDetails): void {
    this.details.set(unit.id, details);
    this.opts.scheduler.enqueue(unit);
    this.scheduleCycle();
  }

  /** Removes a waiting unit; returns false if the unit is no longer waiting. */
  cancel(unitId: string): boolean {
    if (!this.opts.scheduler.cancel(unitId)) return false;
    this.details.delete(unitId);
    return true;
  }

  /** Schedules a cycle for the next event-loop iteration. */
  scheduleCycle(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.runCycle();
    });
  }

  private runCycle(): void {
    const { scheduler, guard, maxBatch, metrics } = this.opts;
    if (!guard.isValid()) return;
    const startMs = performance.now();
    const decisions = scheduler.decide(startMs, maxBatch);
    const started: StartedAttempt[] = [];
    for (const decision of decisions) this.handleDecision(decision, started);
    metrics.observeDecision(performance.now() - startMs);
    if (started.length === 0) return;
    this.commit(started);
    this.scheduleCycle();
  }

  private handleDecision(decision: Decision, started: StartedAttempt[]): void {
    if (decision.type === 'preempt') {
      this.opts.metrics.countPreemption(decision.action);
      this.opts.listener.handlePreempted(decision);
      return;
    }
    const details = this.details.get(decision.unit.id);
    if (!details) return;
    this.details.delete(decision.unit.id);
    if (decision.type === 'reject') {
      this.opts.listener.handleRejected(decision.unit, details, decision);
    } else {
      started.push(...this.createStartedAttempts(decision, details));
    }
  }

  private createStartedAttempts(decision: PlaceDecision, details: UnitDetails): StartedAttempt[] {
    const { ownerId, ...rest } = details;
    const { kind, enqueuedAtMs } = decision.unit;
    this.opts.metrics.observeWaiting(kind, performance.now() - enqueuedAtMs);
    this.opts.metrics.countPlacements(kind, decision.attempts.length);
    return decision.attempts.map((attempt: Attempt) => ({ ...attempt, ...rest, unitId: ownerId }));
  }

  private commit(started: StartedAttempt[]): void {
    const { commits, listener, scheduler, log } = this.opts;
    commits
      .commit<StartAttemptResult[]>({
        type: 'start-attempts',
        attempts: started,
        wallTime: Date.now(),
      })
      .then(
        (results) => {
          started.forEach((attempt, i) => {
            const result = results[i]!;
            if (result.status === 'started') {
              const { idempotencyKey, ...fields } = attempt;
              listener.handleStarted({ ...fields, token: result.token });
            } else {
              scheduler.release(attempt.id, 'not-run', performance.now());
              listener.handleObsolete(attempt, result);
            }
          });
        },
        (err: Error) => {
          // Leadership was lost; the next leader restores the units from the replicated state.
          log.warn('could not commit placements', { attempts: started.length, err: err.message });
        },
      );
  }
}
