import { EjectingHealthPolicy } from '@lagoongap/routing/ejectingHealthPolicy.js';
import type { HealthPolicy } from '@lagoongap/routing/healthPolicy.js';

import { AdviceBroker } from './adviceBroker.js';
import { AdvicePrefetcher } from './advicePrefetcher.js';
import type { CellConfig } from './cellConfig.js';
import { CyclePacer } from './cyclePacer.js';
import type { AgentListener, AgentRun, EndpointAgent } from './endpointAgent.js';
import { EndpointDirectory } from './endpointDirectory.js';
import type { ActiveRun, EndReport } from './endpointDriver.js';
import { EndpointService } from './endpointService.js';
import { BestEffortThrottle } from './bestEffortThrottle.js';
import { JobRetention } from './jobRetention.js';
import { JobService } from './jobService.js';
import { EventLoopLag } from './eventLoopLag.js';
import { parseTaskName, stepName, type TaskRef } from './jobSpec.js';
import { LeadershipMonitor } from './leadershipMonitor.js';
import { OccurrenceTimers } from './occurrenceTimers.js';
import { listTasks, ReadySteps } from './readySteps.js';
import { proposeWhileLeading } from './proposeWhileLeading.js';
import { createAgentRun, RunDispatcher, runKey } from './runDispatcher.js';
import { runInSlices } from './runInSlices.js';
import { RunAdopter } from './runAdopter.js';
import { createReservation, RunLedger } from './runLedger.js';
import type { SessionContext, WorkflowSessionOptions } from './sessionContext.js';
import { DurationEstimator } from './durationEstimator.js';
import { ServiceOutages } from './serviceOutages.js';
import { SessionMetrics } from './sessionMetrics.js';
import { StragglerDetector } from './stragglerDetector.js';
import { StepScheduler } from './stepScheduler.js';
import { isRejection, toRunLossReason } from './toRunLossReason.js';
import { TakeoverRecorder } from './takeoverRecorder.js';
import { WaitLogger } from './waitLogger.js';
import { WaveRunner } from './waveRunner.js';
import type { EndedRun } from './workflowCommand.js';
import type { JobRecord, RunRecord } from './workflowRecords.js';

/** Interval of housekeeping: ended jobs, unresponsive endpoints, waiting steps. */
const HOUSEKEEPING_INTERVAL_MS = 250;

/**
 * One leadership of the workflow layer: adopts existing runs, starts waiting tasks, commits the
 * ends of runs and stops runs that are no longer needed. Discarded when the leadership ends.
 */
export class WorkflowSession implements AgentListener, AsyncDisposable {
  readonly broker: AdviceBroker;
  readonly jobs: JobService;
  readonly endpoints: EndpointService;
  readonly takeover: TakeoverRecorder;
  private readonly opts: WorkflowSessionOptions;
  private readonly context: SessionContext;
  private readonly ledger = new RunLedger();
  private readonly durations = new DurationEstimator();
  private readonly health: HealthPolicy = new EjectingHealthPolicy();
  private readonly directory: EndpointDirectory;
  private readonly ready: ReadySteps;
  private readonly scheduler: StepScheduler;
  private readonly dispatcher: RunDispatcher;
  private readonly adopter: RunAdopter;
  private readonly bestEffortThrottle: BestEffortThrottle;
  private readonly stragglers: StragglerDetector;
  private readonly advice: AdvicePrefetcher;
  private readonly cyclePacer = new CyclePacer();
  private readonly loopLag = new EventLoopLag(HOUSEKEEPING_INTERVAL_MS);
  private readonly occurrenceTimers = new OccurrenceTimers();
  private readonly retention: JobRetention;
  private readonly waves: WaveRunner;
  private readonly waitLogger: WaitLogger;
  private readonly metrics: SessionMetrics;
  private readonly outages: ServiceOutages;
  private readonly monitor: LeadershipMonitor;
  private config: CellConfig | undefined;
  private cycleTimer: NodeJS.Timeout | undefined;
  private housekeepingTimer: NodeJS.Timeout | undefined;
  /** All runs of the previous leader are adopted; nothing is scheduled before. */
  private hasTakenOver = false;
  private isDisposed = false;

  constructor(opts: WorkflowSessionOptions) {
    this.opts = opts;
    const { term } = opts.log;
    const { logger, meter, electedMs = performance.now() } = opts;
    this.takeover = new TakeoverRecorder(logger, meter, electedMs);
    this.monitor = new LeadershipMonitor({ ...opts, replicatedLog: opts.log, log: logger });
    this.context = {
      state: opts.state,
      driver: opts.driver,
      timing: opts.timing,
      logger: opts.logger,
      meter: opts.meter,
      fencingToken: term,
      predecessorEndMs: Math.min(performance.now(), opts.log.predecessorEndMs ?? Infinity),
      // The instance may be elected again before this session is disposed of.
      isValid: () => !this.isDisposed && opts.log.term === term && opts.isValid(),
      describeLeadership: () => this.monitor.describe(),
      propose: async (command) => {
        const startMs = performance.now();
        const result = await proposeWhileLeading(opts.log, command, this.context.fencingToken);
        opts.meter.countCommit(performance.now() - startMs);
        return result;
      },
      readConfig: () => this.readConfig(),
    };
    this.broker = new AdviceBroker(opts.log.term);
    this.directory = new EndpointDirectory(this.context, this, this.health);
    this.ready = new ReadySteps({
      state: opts.state,
      isPending: (step, index) => this.scheduler.isPending(step, index),
      isSuspect: (task, run) => this.stragglers.isSuspect(task, run),
    });
    this.scheduler = new StepScheduler({
      context: this.context,
      ready: this.ready,
      ledger: this.ledger,
      directory: this.directory,
      durations: this.durations,
      broker: this.broker,
      readOutageSinceMs: (task) => this.outages.sinceMsOf(task),
      onAdvice: () => this.requestCycle(),
    });
    this.dispatcher = new RunDispatcher({
      context: this.context,
      directory: this.directory,
      health: this.health,
      findTicket: (start) => this.scheduler.findTicket(start),
      onNotSent: (agent, runs, reason) => this.recordLostRuns(agent, runs, reason),
    });
    this.bestEffortThrottle = new BestEffortThrottle(this.context);
    this.adopter = new RunAdopter({
      state: opts.state,
      ledger: this.ledger,
      directory: this.directory,
      onLost: (task, run) => this.recordUnadopted(task, run),
    });
    this.waves = new WaveRunner({
      context: this.context,
      directory: this.directory,
      instances: opts.instances,
      holder: opts.holder,
    });
    this.waitLogger = new WaitLogger(this.context, this.ready, this.scheduler);
    this.metrics = new SessionMetrics(this.context, this.ready, this.directory);
    this.outages = new ServiceOutages(this.context, this.ready, this.directory);
    this.retention = new JobRetention(this.context);
    this.stragglers = new StragglerDetector(
      this.context,
      this.directory,
      this.durations,
      this.loopLag,
    );
    this.advice = new AdvicePrefetcher({
      context: this.context,
      ready: this.ready,
      scheduler: this.scheduler,
      stragglers: this.stragglers,
    });
    this.jobs = new JobService(this.context, {
      onSubmitting: (command) => this.advice.prefetchInitial(command),
      onAccepted: (job) => this.refreshJob(job.id),
      onClosed: (job) => this.refreshJob(job.id),
    });
    this.endpoints = new EndpointService(this.context, this.directory, {
      onChanged: (id) => {
        this.scheduler.dropTickets(id);
        this.scheduler.recheckBlocked();
        this.requestCycle();
      },
    });
  }

  /** Begins to adopt the runs of the previous leader; scheduling starts when all are adopted. */
  start(): void {
    const { state, logger } = this.opts;
    for (const record of state.endpoints.values()) this.directory.add(record);
    this.retention.recordFormerEnds();
    this.takeOver().catch((err: Error) => {
      logger.error('take-over failed', { term: this.context.fencingToken, err: err.message });
    });
  }

  private async takeOver(): Promise<void> {
    const { state, logger, meter } = this.opts;
    const isActive = () => !this.isDisposed;
    let adopted = 0;
    const adopt = (job: JobRecord): void => {
      adopted += this.adopter.adopt(job);
    };
    await runInSlices(state.jobs.values(), adopt, isActive);
    if (this.isDisposed) return;
    this.directory.startAll().catch((err: Error) => this.logFailure('endpoint agents', err));
    const openJobs = [...state.jobs.values()].filter(({ status }) => status === 'open');
    await runInSlices(openJobs, ({ id }) => this.refreshJob(id), isActive);
    if (this.isDisposed) return;
    this.hasTakenOver = true;
    this.requestCycle();
    this.housekeepingTimer = setInterval(() => this.runHousekeeping(), HOUSEKEEPING_INTERVAL_MS);
    meter.countLeadership();
    this.takeover.recordReached('adopted');
    logger.notice('leadership of workflows begins', {
      term: this.context.fencingToken,
      predecessorEndAgoMs: Math.round(performance.now() - this.context.predecessorEndMs),
      jobs: state.jobs.size,
      endpoints: state.endpoints.size,
      runs: adopted,
      configVersion: state.config.version,
    });
  }

  /** Returns the configuration in force; parsed again when its version changes. */
  readConfig(): CellConfig | undefined {
    const { state, parseConfig } = this.opts;
    const { version, document } = state.config;
    if (version === 0) return undefined;
    if (this.config?.version !== version) this.config = parseConfig(document);
    return this.config;
  }

  async onRunsEnded(
    agent: EndpointAgent,
    reports: { run: AgentRun; report: EndReport }[],
  ): Promise<void> {
    for (const { run, report } of reports) this.recordOutcome(agent, run, report);
    const ends = reports.map(({ run, report }) => ({
      task: run.task,
      run: run.run,
      outcome: report.outcome,
      checkpoint: report.checkpoint || run.checkpoint || undefined,
    }));
    await this.recordEnds(ends, agent.id);
  }

  onRunsLost(agent: EndpointAgent, runs: AgentRun[], reason: string): void {
    if (reason === 'no-ticket') this.scheduler.dropTickets(agent.id);
    for (const { key, task } of runs) {
      this.health.recordAbandoned({ attemptId: key, unitId: task.jobId, endpointId: agent.id });
      this.recordFailure(agent, task);
    }
    if (isRejection(reason)) this.scheduler.recordRejection(agent.id, runs, reason);
    this.recordLostRuns(agent, runs, reason);
  }

  onUnknownRun(agent: EndpointAgent, active: ActiveRun): void {
    const task = parseTaskName(active.task);
    if (!task) return;
    const key = runKey(task, active.run);
    const job = this.opts.state.jobs.get(task.jobId);
    this.opts.logger.warn('endpoint reported an unknown run', { endpoint: agent.id, run: key });
    if (job) this.ledger.reserve(createReservation(job, task, key, agent.id));
    const run = createAgentRun(this.opts.state, task, active.run, active.checkpoint);
    agent.adopt(run);
    agent.stop(run);
  }

  onInspected(agent: EndpointAgent, active: ActiveRun[]): void {
    this.bestEffortThrottle.observe(agent, active);
  }

  onAvailabilityChange(agent: EndpointAgent): void {
    // Only tasks that may be copied can start because the endpoint of their run is unavailable.
    const tasks = [...agent.runs.values()].map(({ task }) => task);
    const copied = tasks.filter((task) => this.opts.state.findSpec(task)?.allowsCopies);
    for (const id of new Set(copied.map(({ jobId }) => jobId))) this.refreshJob(id);
    this.scheduler.recheckBlocked();
    this.requestCycle();
  }

  onLeft(agent: EndpointAgent): void {
    this.endpoints.remove(agent.id, 'the endpoint has left');
    this.requestCycle();
  }

  onFenced(): void {
    this.opts.logger.warn('a newer leader gives orders', { term: this.context.fencingToken });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    clearTimeout(this.cycleTimer);
    clearInterval(this.housekeepingTimer);
    this.monitor[Symbol.dispose]();
    this.opts.meter.setWaitingSteps(new Map());
    this.opts.meter.setServiceOutages(0, 0);
    this.occurrenceTimers[Symbol.dispose]();
    this.dispatcher[Symbol.dispose]();
    this.directory[Symbol.dispose]();
    this.broker[Symbol.dispose]();
    this.opts.logger.notice('leadership of workflows ends', { term: this.context.fencingToken });
  }

  private recordUnadopted(task: TaskRef, { run, endpoint }: RunRecord): void {
    this.opts.meter.countLostRuns('endpoint-gone', 1);
    const ends: EndedRun[] = [{ task, run, outcome: 'lost' }];
    this.recordEnds(ends, endpoint).catch((err: Error) => this.logFailure('run ends', err));
  }

  /** Commits the loss of runs that ended without a report; does not affect endpoint health. */
  private recordLostRuns(agent: EndpointAgent, runs: AgentRun[], reason: string): void {
    this.opts.meter.countLostRuns(toRunLossReason(reason), runs.length);
    this.opts.logger.warn('runs are lost', {
      endpoint: agent.id,
      reason,
      runs: runs.map(({ key }) => key),
    });
    const ends = runs.map(({ task, run, checkpoint }) => ({
      task,
      run,
      outcome: 'lost' as const,
      checkpoint: checkpoint || undefined,
    }));
    this.recordEnds(ends, agent.id).catch((err: Error) => this.logFailure('run ends', err));
  }

  private async recordEnds(ends: EndedRun[], endpoint: string): Promise<void> {
    await this.context.propose({ type: 'end', runs: ends });
    this.outages.recordEnds(ends);
    const jobs = new Set<string>();
    for (const { task, run, outcome } of ends) {
      this.ledger.release(runKey(task, run));
      jobs.add(task.jobId);
      this.opts.meter.countRunEnded(outcome);
      if (outcome === 'done') this.stopCopies(task);
    }
    this.opts.logger.info('runs ended', {
      endpoint,
      runs: ends.map(({ task, run, outcome }) => `${runKey(task, run)} ${outcome}`).join(),
    });
    for (const id of jobs) this.refreshJob(id);
  }

  private recordFailure(agent: EndpointAgent, task: TaskRef): void {
    this.scheduler.recordFailure(stepName(task.jobId, task.occurrence, task.step), agent.id);
  }

  /** Stops the remaining runs of a task that has succeeded. */
  private stopCopies(task: TaskRef): void {
    const record = this.opts.state.findTask(task);
    if (!record?.isDone || this.opts.state.findSpec(task)?.isGang) return;
    for (const { run, endpoint } of record.runs) this.stopRun(endpoint, runKey(task, run));
  }

  private stopRun(endpoint: string, key: string): void {
    const agent = this.directory.find(endpoint);
    const run = agent?.runs.get(key);
    if (run) agent?.stop(run);
  }

  private recordOutcome(agent: EndpointAgent, run: AgentRun, report: EndReport): void {
    const attempt = { attemptId: run.key, unitId: run.task.jobId, endpointId: agent.id };
    if (report.outcome === 'done') this.health.recordSuccess(attempt);
    else if (report.outcome === 'failed') this.health.recordFailure(attempt);
    else this.health.recordAbandoned(attempt);
    if (report.outcome === 'failed') this.recordFailure(agent, run.task);
    const spec = this.opts.state.findSpec(run.task);
    const isMeasurable = report.outcome === 'done' && run.confirmedMs > 0 && run.run === 1;
    if (!spec || !isMeasurable || spec.fillsIdleCapacity || spec.dataRack !== '') return;
    const actualMs = performance.now() - run.confirmedMs;
    this.durations.record(agent.id, agent.record.kind, spec.estimateMs, actualMs);
  }

  /** Re-evaluates a changed job: steps to start, runs to stop, timer for the next occurrence. */
  private refreshJob(id: string): void {
    const job = this.opts.state.jobs.get(id);
    const waitMs = this.ready.refresh(job, id, Date.now());
    this.occurrenceTimers.schedule(id, waitMs, () => this.refreshJob(id));
    if (job && job.status !== 'open') this.closeJob(job);
    this.requestCycle();
  }

  /** Stops the remaining runs of a job that has ended. */
  private closeJob(job: JobRecord): void {
    if (this.retention.recordEnd(job.id)) {
      this.opts.logger.info('job ended', { job: job.id, status: job.status });
      this.opts.meter.countJobEnded(job.status, Date.now() - job.acceptedMs);
    }
    for (const step of job.steps.values()) {
      this.scheduler.forgetStep(stepName(job.id, step.occurrence, step.step));
    }
    for (const { task, record } of listTasks(job)) {
      for (const { run, endpoint } of record.runs) this.stopRun(endpoint, runKey(task, run));
    }
  }

  private requestCycle(): void {
    if (this.isDisposed || !this.hasTakenOver || this.cycleTimer) return;
    this.cycleTimer = setTimeout(() => {
      this.cycleTimer = undefined;
      this.runCycle().catch((err: Error) => this.logFailure('scheduling cycle', err));
    }, this.cyclePacer.pauseMs);
  }

  private async runCycle(): Promise<void> {
    const config = this.readConfig();
    if (!config || !this.context.isValid()) return;
    this.takeover.recordReached('first-cycle');
    const startMs = performance.now();
    const { planned, isComplete } = this.scheduler.decide(config);
    for (const id of new Set(planned.map(({ task }) => task.jobId))) {
      this.ready.refresh(this.opts.state.jobs.get(id), id, Date.now());
    }
    this.cyclePacer.recordCycle(performance.now() - startMs);
    if (!isComplete) this.requestCycle();
    if (planned.length === 0) return;
    try {
      await this.context.propose({
        type: 'start',
        runs: planned.map(({ task, run, endpoint }) => ({ task, run, endpoint })),
      });
    } finally {
      for (const start of planned) this.scheduler.clearPending(start);
    }
    this.dispatcher.dispatch(planned);
    for (const id of new Set(planned.map(({ task }) => task.jobId))) {
      const job = this.opts.state.jobs.get(id);
      if (job) this.advice.prefetchUpcoming(job, config);
    }
  }

  private runHousekeeping(): void {
    this.loopLag.observe();
    if (!this.context.isValid()) return;
    this.scheduler.recheckBlocked();
    for (const id of this.retention.removeExpired()) this.occurrenceTimers.cancel(id);
    this.endpoints.removeUnresponsive();
    this.metrics.update();
    this.outages.update();
    this.advice.prefetchAll().catch((err: Error) => this.logFailure('advice', err));
    this.waitLogger.logWaitingSteps();
    this.waves.advance().catch((err: Error) => this.logFailure('maintenance waves', err));
    for (const id of this.stragglers.findSlowJobs()) this.refreshJob(id);
    for (const { agent, run } of this.stragglers.findStalled()) {
      this.opts.logger.warn('run is stalled', { run: run.key, endpoint: agent.id });
      this.recordFailure(agent, run.task);
      agent.stop(run);
    }
    this.requestCycle();
  }

  private logFailure(what: string, err: Error): void {
    this.opts.logger.warn('failed to record a change', { what, err: err.message });
  }
}
