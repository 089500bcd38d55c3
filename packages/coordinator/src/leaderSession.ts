import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import type { EndpointState } from '@lagoongap/model/endpoint.js';
import type { Log } from '@lagoongap/model/log.js';
import type { Release } from '@lagoongap/model/messages.js';
import type { WorkUnit } from '@lagoongap/model/workload.js';
import { resolveWorks } from '@lagoongap/model/endpointRules.js';
import type { EndpointClient } from '@lagoongap/routing/endpointClient.js';
import type { AttemptRef, HealthPolicy } from '@lagoongap/routing/healthPolicy.js';
import type {
  PreemptDecision,
  RejectDecision,
  Scheduler,
} from '@lagoongap/scheduling/scheduler.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { StartAttemptResult, StartedAttempt } from '@lagoongap/state/commands.js';
import type { AttemptRecord, EndpointRecord, FinishedAttempt } from '@lagoongap/state/records.js';
import { hasCrashedTooOften } from '@lagoongap/state/crashHistory.js';
import { isFinal } from '@lagoongap/state/taskTransitions.js';
import type { Metrics } from '@lagoongap/telemetry/metrics.js';

import { AttemptCloser } from './attemptCloser.js';
import { CommitQueue } from './commitQueue.js';
import { CrashDetector } from './crashDetector.js';
import { SWEEP_INTERVAL_MS, type CoordinatorTiming } from './coordinatorTiming.js';
import { EndpointLeases } from './endpointLeases.js';
import { EvacuationService } from './evacuationService.js';
import { GatewaySessions } from './gatewaySessions.js';
import { DEFAULT_JOB_BYTES, JobMemory } from './jobMemory.js';
import { JobService } from './jobService.js';
import { createUnitId } from './unitId.js';
import { MetricsReporter } from './metricsReporter.js';
import { NoteService } from './noteService.js';
import {
  PlacementPipeline,
  type PlacementListener,
  type UnitDetails,
} from './placementPipeline.js';
import { RequestService } from './requestService.js';
import { StatusReader, type InstanceInfo } from './statusReader.js';
import { SuspectTrials } from './suspectTrials.js';
import { TaskDispatcher } from './taskDispatcher.js';
import { ValidityGuard } from './validityGuard.js';

/** Options of {@link LeaderSession}. */
export interface LeaderSessionOptions {
  instanceId: string;
  instances: InstanceInfo[];
  log: ReplicatedLog;
  state: ClusterState;
  /** Created for each session, with empty state. */
  scheduler: Scheduler;
  endpointClient: EndpointClient;
  /** Created for each session and disposed with it. */
  health: HealthPolicy;
  metrics: Metrics;
  timing: CoordinatorTiming;
  /** Maximum number of attempts that are decided in one scheduling cycle. */
  maxBatch: number;
  /** Limit on the estimated memory of all jobs in bytes; 256 MiB by default. */
  maxJobBytes?: number;
  logger: Log;
  isReachable: (instance: string) => boolean;
}

function createAttemptRef({ id, unitId, endpointId }: AttemptRecord): AttemptRef {
  return { attemptId: id, unitId, endpointId };
}

/** Services and state that exist only while this instance is the leader. */
export class LeaderSession implements PlacementListener, AsyncDisposable {
  readonly requests: RequestService;
  readonly jobs: JobService;
  readonly leases: EndpointLeases;
  readonly sessions: GatewaySessions;
  readonly notes: NoteService;
  readonly evacuations: EvacuationService;
  readonly status: StatusReader;
  private readonly opts: LeaderSessionOptions;
  private readonly guard: ValidityGuard;
  private readonly pipeline: PlacementPipeline;
  private readonly dispatcher: TaskDispatcher;
  private readonly crashes: CrashDetector;
  private readonly trials: SuspectTrials;
  private readonly reporter: MetricsReporter;
  private readonly unsubscribe: () => void;
  private readonly sweepTimer: NodeJS.Timeout;

  constructor(opts: LeaderSessionOptions) {
    this.opts = opts;
    const { log, state, scheduler, endpointClient, timing, logger } = opts;
    this.guard = new ValidityGuard(log);
    const { guard } = this;
    const commits = new CommitQueue(log, opts.metrics, opts.maxBatch === 1 ? 1 : undefined);
    this.crashes = new CrashDetector({ state, commits, metrics: opts.metrics, log: logger });
    this.trials = new SuspectTrials({
      state,
      crashes: this.crashes,
      countReadyEndpoints: () => this.leases.countReady(),
      onReservationChange: (id) => this.publishEndpoint(id),
      log: logger,
    });
    const closer = new AttemptCloser({
      state,
      scheduler,
      commits,
      crashes: this.crashes,
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
      metrics: opts.metrics,
    });
    this.dispatcher = new TaskDispatcher({
      state,
      endpointClient,
      closer,
      guard,
      leaseMs: timing.endpointLeaseMs,
      log: logger,
      onNotRun: (attempt) => this.jobs.recordNotRun(attempt),
    });
    this.requests = new RequestService({
      state,
      scheduler,
      pipeline: () => this.pipeline,
      closer,
      commits,
      isOwnerAlive: (owner) => this.sessions.isOwnerAlive(owner),
      onReleased: (attempt, release) => this.handleReleased(attempt, release),
    });
    this.jobs = new JobService({
      state,
      scheduler,
      pipeline: () => this.pipeline,
      dispatcher: () => this.dispatcher,
      trials: this.trials,
      commits,
      memory: new JobMemory(state, opts.maxJobBytes ?? DEFAULT_JOB_BYTES),
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
      isEjected: (id) =>
        opts.health.isEjected(id) || this.trials.isReserved(id) || state.isEvacuated(id),
      onPublished: (endpoint, availability) => this.handleEndpointPublished(endpoint, availability),
      crashes: this.crashes,
      onRemoved: (id) => this.handleEndpointRemoved(id),
      canDeclareLost: (attempt, nowMs) => this.canDeclareLost(attempt, nowMs),
      isLastAttempt: (attempt) =>
        attempt.kind === 'request' && !this.requests.isDeferred(attempt.unitId),
      onRunning: (attempt) => this.handleRunning(attempt),
      scheduleCycle: () => this.pipeline.scheduleCycle(),
    });
    this.notes = new NoteService({
      state,
      commits,
      sessions: this.sessions,
      onApplied: () => this.handleConfigurationChange(),
    });
    this.evacuations = new EvacuationService({
      state,
      commits,
      log: logger,
      onChanged: (dataCentre) => this.handleEvacuationChange(dataCentre),
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
      isEjected: (id) => opts.health.isEjected(id),
      isReserved: (id) => this.trials.isReserved(id),
    });
    this.reporter = new MetricsReporter({
      state,
      scheduler,
      health: opts.health,
      leases: this.leases,
      metrics: opts.metrics,
    });
    this.unsubscribe = opts.health.onChange(({ endpointId, ejected }) => {
      logger.info('endpoint health changed', { endpoint: endpointId, ejected });
      if (ejected) opts.metrics.countEjection();
      this.publishEndpoint(endpointId);
    });
    this.restore();
    this.sweepTimer = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS);
  }

  /**
   * Asserts that this instance holds leader validity.
   *
   * @throws {RefusalError} of type `no-leader` otherwise.
   */
  assertValid(): void {
    this.guard.assertValid();
  }

  handleStarted(attempt: AttemptRecord): void {
    this.opts.health.recordStart(createAttemptRef(attempt));
    this.crashes.recordStart(attempt.id);
    this.trials.handleStarted(attempt);
    if (attempt.kind === 'request') {
      this.requests.handleStarted(attempt);
      return;
    }
    this.dispatcher.dispatch(attempt).catch((err: Error) => {
      this.opts.logger.error('failed to dispatch an attempt', {
        attempt: attempt.id,
        err: err.message,
      });
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
    this.dispatcher.sendAction(attempt.id, decision.action).catch(() => {});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.guard.close();
    clearInterval(this.sweepTimer);
    this.unsubscribe();
    this.opts.health[Symbol.dispose]();
    this.jobs.close();
    this.requests.close();
  }

  private restore(): void {
    const { state, scheduler } = this.opts;
    const nowMs = performance.now();
    for (const attempt of state.attempts.values()) {
      scheduler.restore({ ...attempt, unitId: createUnitId(attempt) }, nowMs);
      this.trials.handleStarted(attempt);
    }
    for (const job of state.jobs.values()) {
      if (!isFinal(job.state)) this.jobs.enqueueWaiting(job);
    }
    this.pipeline.scheduleCycle();
  }

  private handleClosed(attempt: AttemptRecord, finished: FinishedAttempt): void {
    const wasWithheld = this.dispatcher.removeOrder(attempt.id);
    this.crashes.removeAttempt(attempt.id);
    this.trials.handleClosed(attempt);
    if (finished.crash) this.reportCrashBound(attempt);
    if (attempt.kind === 'request') {
      this.requests.handleAttemptClosed(attempt);
    } else {
      if (wasWithheld) this.opts.health.recordAbandoned(createAttemptRef(attempt));
      else this.recordHealth(attempt, finished);
      this.jobs.handleAttemptClosed(attempt, finished);
    }
    this.pipeline.scheduleCycle();
  }

  /** Reports work that is not started again because of crashes. */
  private reportCrashBound({ kind, unitId, taskIndex }: AttemptRecord): void {
    const { state, metrics, logger } = this.opts;
    const record =
      kind === 'request' ? state.requests.get(unitId) : state.jobs.get(unitId)?.tasks[taskIndex];
    if (!record || !isFinal(record.state) || !hasCrashedTooOften(record.crashes)) return;
    metrics.countCrashBound(kind);
    logger.warn('work is not started again after crashes', {
      unit: unitId,
      taskIndex,
      endpoints: record.crashes?.map(({ endpoint }) => endpoint),
    });
  }

  private handleReleased(attempt: AttemptRecord, release: Release): void {
    const { health } = this.opts;
    const ref = createAttemptRef(attempt);
    if (release.isEndpointFault) health.recordFailure(ref);
    else if (release.outcome === 'succeeded') health.recordSuccess(ref);
    else health.recordAbandoned(ref);
  }

  private recordHealth(attempt: AttemptRecord, { outcome }: FinishedAttempt): void {
    const { health } = this.opts;
    const ref = createAttemptRef(attempt);
    if (outcome === 'succeeded') health.recordSuccess(ref);
    else if (outcome === 'failed' || outcome === 'not-run') health.recordFailure(ref);
    else health.recordAbandoned(ref);
  }

  /** Records a running service as a success, because a service may never end. */
  private handleRunning(attemptId: string): void {
    this.crashes.recordRunning(attemptId);
    if (!this.dispatcher.confirmRunning(attemptId)) return;
    const attempt = this.opts.state.attempts.get(attemptId);
    if (attempt?.kind === 'service') this.opts.health.recordSuccess(createAttemptRef(attempt));
  }

  private handleEndpointPublished(endpoint: EndpointRecord, availability: EndpointState): void {
    const { announcement } = endpoint;
    // Endpoints that accept no work must not count towards the maximum share of ejected endpoints.
    const works =
      availability === 'ready' ? [...resolveWorks(this.opts.state.config, announcement)] : [];
    this.opts.health.setEndpoint(announcement.id, works);
  }

  private publishEndpoint(endpointId: string): void {
    const endpoint = this.opts.state.endpoints.get(endpointId);
    if (endpoint) this.leases.publish(endpoint);
    this.pipeline.scheduleCycle();
  }

  private handleEndpointRemoved(endpointId: string): void {
    this.opts.health.removeEndpoint(endpointId);
    this.crashes.removeEndpoint(endpointId);
  }

  private handleConfigurationChange(): void {
    const { scheduler, state } = this.opts;
    scheduler.setConfiguration(state.config);
    for (const endpoint of state.endpoints.values()) this.leases.publish(endpoint);
    this.pipeline.scheduleCycle();
  }

  private handleEvacuationChange(dataCentre: string): void {
    for (const endpoint of this.opts.state.endpoints.values()) {
      if (endpoint.announcement.dataCentre === dataCentre) this.leases.publish(endpoint);
    }
    this.pipeline.scheduleCycle();
  }

  private canDeclareLost(attempt: AttemptRecord, nowMs: number): boolean {
    return attempt.kind === 'request'
      ? this.requests.canDeclareLost(attempt, nowMs)
      : this.dispatcher.canDeclareLost(attempt.id, nowMs);
  }

  private sweep(): void {
    if (!this.guard.isValid()) return;
    const nowMs = performance.now();
    this.leases.sweep(nowMs);
    this.requests.sweep(nowMs);
    this.trials.sweep(nowMs);
    this.reporter.report(nowMs);
    this.pipeline.scheduleCycle();
  }
}
