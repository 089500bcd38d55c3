import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import type { Log } from '@lagoongap/model/log.js';
import type { Release } from '@lagoongap/model/messages.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { WorkUnit } from '@lagoongap/model/workload.js';
import type { Exchange } from '@lagoongap/routing/exchange.js';
import type {
  PreemptDecision,
  RejectDecision,
  Scheduler,
} from '@lagoongap/scheduling/scheduler.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { StartAttemptResult, StartedAttempt } from '@lagoongap/state/commands.js';
import type { AttemptRecord, FinishedAttempt } from '@lagoongap/state/records.js';
import { isFinal } from '@lagoongap/state/taskTransitions.js';

import { AttemptCloser } from './attemptCloser.js';
import { CommitQueue } from './commitQueue.js';
import { SWEEP_INTERVAL_MS, type CoordinatorTiming } from './coordinatorTiming.js';
import { EndpointLeases } from './endpointLeases.js';
import { GatewaySessions } from './gatewaySessions.js';
import { JobDesk } from './jobDesk.js';
import { NoteDesk } from './noteDesk.js';
import {
  PlacementPipeline,
  type PlacementListener,
  type UnitDetails,
} from './placementPipeline.js';
import { RequestDesk } from './requestDesk.js';
import { StatusReader, type InstanceInfo } from './statusReader.js';
import { TaskDispatcher } from './taskDispatcher.js';
import { ValidityGuard } from './validityGuard.js';

/** Options of {@link LeaderSession}. */
export interface LeaderSessionOptions {
  instanceId: string;
  instances: InstanceInfo[];
  log: ReplicatedLog;
  state: ClusterState;
  /** Made anew for each session, without any state. */
  scheduler: Scheduler;
  exchange: Exchange;
  timing: CoordinatorTiming;
  /** Most attempts decided in one turn. */
  maxBatch: number;
  logger: Log;
  isReachable: (instance: string) => boolean;
}

/** Everything that exists only while this instance is the leader. */
export class LeaderSession implements PlacementListener, AsyncDisposable {
  readonly requests: RequestDesk;
  readonly jobs: JobDesk;
  readonly leases: EndpointLeases;
  readonly sessions: GatewaySessions;
  readonly notes: NoteDesk;
  readonly status: StatusReader;
  private readonly opts: LeaderSessionOptions;
  private readonly guard: ValidityGuard;
  private readonly pipeline: PlacementPipeline;
  private readonly dispatcher: TaskDispatcher;
  private readonly sweepTimer: NodeJS.Timeout;

  constructor(opts: LeaderSessionOptions) {
    this.opts = opts;
    const { log, state, scheduler, exchange, timing, logger } = opts;
    this.guard = new ValidityGuard(log);
    const { guard } = this;
    const commits = new CommitQueue(log);
    const closer = new AttemptCloser({
      state,
      scheduler,
      commits,
      onClosed: (attempt, finished) => this.handleClosed(attempt, finished),
    });
    this.sessions = new GatewaySessions({
      instanceId: opts.instanceId,
      term: () => log.term,
      state,
      guard,
      timing,
      instances: opts.instances.map(({ id }) => id),
    });
    this.pipeline = new PlacementPipeline({
      scheduler,
      commits,
      guard,
      listener: this,
      maxBatch: opts.maxBatch,
      log: logger,
    });
    this.dispatcher = new TaskDispatcher({
      state,
      exchange,
      closer,
      guard,
      leaseMs: timing.endpointLeaseMs,
      log: logger,
      onNotRun: (attempt) => this.jobs.noteNotRun(attempt),
    });
    this.requests = new RequestDesk({
      state,
      scheduler,
      pipeline: () => this.pipeline,
      closer,
      commits,
      isOwnerAlive: (owner) => this.sessions.isOwnerAlive(owner),
      onReleased: (attempt, release) => this.handleReleased(attempt, release),
    });
    this.jobs = new JobDesk({
      state,
      scheduler,
      pipeline: () => this.pipeline,
      dispatcher: () => this.dispatcher,
      commits,
    });
    scheduler.setConfiguration(state.config);
    this.leases = new EndpointLeases({
      state,
      scheduler,
      closer,
      commits,
      guard,
      timing,
      log: logger,
      isEjected: (id) => this.isEjected(id),
      canSettle: (attempt, nowMs) => this.canSettle(attempt, nowMs),
      isFinal: (attempt) => attempt.kind === 'request' && !this.requests.isParked(attempt.unitId),
      onRunning: (attempt) => this.dispatcher.confirm(attempt),
      wake: () => this.pipeline.wake(),
    });
    this.notes = new NoteDesk({
      state,
      commits,
      sessions: this.sessions,
      onApplied: () => this.handleConfiguration(),
    });
    this.status = new StatusReader({
      instanceId: opts.instanceId,
      instances: opts.instances,
      log,
      state,
      scheduler,
      leases: this.leases,
      sessions: this.sessions,
      isReachable: opts.isReachable,
      isEjected: (id) => this.isEjected(id),
    });
    this.restore();
    this.sweepTimer = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS);
  }

  /** Throws a `no-leader` refusal unless leader validity holds. */
  assertValid(): void {
    this.guard.assertValid();
  }

  handleStarted(attempt: AttemptRecord): void {
    if (attempt.kind === 'request') {
      this.requests.handleStarted(attempt);
      return;
    }
    this.dispatcher.dispatch(attempt).catch((err: Error) => {
      this.opts.logger.error('dispatch failed', { attempt: attempt.id, err: err.message });
    });
  }

  handleObsolete(attempt: StartedAttempt, result: StartAttemptResult): void {
    if (attempt.kind === 'request') this.requests.handleObsolete(attempt, result);
  }

  handleRejected(unit: WorkUnit, details: UnitDetails, decision: RejectDecision): void {
    if (unit.kind === 'request') this.requests.handleRejected(unit, decision);
    else this.jobs.handleRejected(unit, details.ownerId, decision);
  }

  handlePreempted(decision: PreemptDecision): void {
    const attempt = this.opts.state.attempts.get(decision.attemptId);
    if (!attempt) return;
    this.opts.logger.info('preempting an attempt', {
      attempt: attempt.id,
      endpoint: attempt.endpointId,
      action: decision.action,
      reason: decision.reason,
    });
    this.dispatcher.act(attempt.id, decision.action).catch(() => {});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.guard.close();
    clearInterval(this.sweepTimer);
    this.jobs.close();
    this.requests.close(
      new RefusalError({
        type: 'no-leader',
        runState: 'not-run',
        message: 'leadership moved to another instance',
      }),
    );
  }

  private restore(): void {
    const { state, scheduler } = this.opts;
    const nowMs = performance.now();
    for (const attempt of state.attempts.values()) scheduler.restore(attempt, nowMs);
    for (const job of state.jobs.values()) {
      if (!isFinal(job.state)) this.jobs.enqueueWaiting(job);
    }
    this.pipeline.wake();
  }

  private handleClosed(attempt: AttemptRecord, finished: FinishedAttempt): void {
    this.dispatcher.forget(attempt.id);
    if (attempt.kind === 'request') this.requests.handleClosed(attempt);
    else this.jobs.handleClosed(attempt, finished);
    this.pipeline.wake();
  }

  private handleReleased(_attempt: AttemptRecord, _release: Release): void {
    // Endpoint health is recorded here.
  }

  private handleConfiguration(): void {
    const { scheduler, state } = this.opts;
    scheduler.setConfiguration(state.config);
    this.pipeline.wake();
  }

  private canSettle(attempt: AttemptRecord, nowMs: number): boolean {
    return attempt.kind === 'request'
      ? this.requests.canSettle(attempt, nowMs)
      : this.dispatcher.canSettle(attempt.id, nowMs);
  }

  private isEjected(_endpointId: string): boolean {
    return false;
  }

  private sweep(): void {
    if (!this.guard.isValid()) return;
    const nowMs = performance.now();
    this.leases.sweep(nowMs);
    this.requests.sweep(nowMs);
    this.pipeline.wake();
  }
}
