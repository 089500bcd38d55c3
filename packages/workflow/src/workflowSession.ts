import { EjectingHealthPolicy } from '@lagoongap/routing/ejectingHealthPolicy.js';
import type { HealthPolicy } from '@lagoongap/routing/healthPolicy.js';

import type { AdviceBroker } from './adviceBroker.js';
import { AdvicePrefetcher } from './advicePrefetcher.js';
import type { CellConfig } from './cellConfig.js';
import { ConfigReader } from './configReader.js';
import { createAdviceBroker } from './createAdviceBroker.js';
import { createSessionContext } from './createSessionContext.js';
import { CrashAttribution } from './crashAttribution.js';
import { CyclePacer } from './cyclePacer.js';
import type { AgentRun } from './agentRun.js';
import type { AgentListener, EndpointAgent } from './endpointAgent.js';
import { EndpointDirectory } from './endpointDirectory.js';
import type { ActiveRun, EndReport } from './endpointDriver.js';
import { EndpointService } from './endpointService.js';
import { EvacuationService } from './evacuationService.js';
import { BestEffortThrottle } from './bestEffortThrottle.js';
import { JobRetention } from './jobRetention.js';
import { JobCloser } from './jobCloser.js';
import { JobService } from './jobService.js';
import { EarlyTrials } from './earlyTrials.js';
import { EventLoopLag } from './eventLoopLag.js';
import { parseTaskName } from './jobSpec.js';
import { LeadershipMonitor } from './leadershipMonitor.js';
import { OccurrenceTimers } from './occurrenceTimers.js';
import { OutcomeRecorder } from './outcomeRecorder.js';
import { ReadySteps } from './readySteps.js';
import { createAgentRun, RunDispatcher, runKey } from './runDispatcher.js';
import { runInSlices } from './runInSlices.js';
import { RunAdopter } from './runAdopter.js';
import { RoomHolds } from './roomHolds.js';
import { Preemption } from './preemption.js';
import { RunEnds } from './runEnds.js';
import { createReservation, RunLedger } from './runLedger.js';
import type { SessionContext, WorkflowSessionOptions } from './sessionContext.js';
import { DurationForecast } from './durationForecast.js';
import { ServiceOutages } from './serviceOutages.js';
import { SessionMetrics } from './sessionMetrics.js';
import { stopStalledRuns } from './stopStalledRuns.js';
import { StragglerDetector } from './stragglerDetector.js';
import { StepScheduler } from './stepScheduler.js';
import { isRejection } from './toRunLossReason.js';
import { TakeoverRecorder } from './takeoverRecorder.js';
import { WaitLogger } from './waitLogger.js';
import { WaveRunner } from './waveRunner.js';
import type { JobRecord } from './workflowRecords.js';

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
  readonly evacuations: EvacuationService;
  readonly takeover: TakeoverRecorder;
  private readonly opts: WorkflowSessionOptions;
  private readonly context: SessionContext;
  private readonly ledger = new RunLedger();
  private readonly holds = new RoomHolds(
    (endpoint) => this.ledger.recordUnheld(endpoint),
    (run) => this.ledger.isStopping(run),
  );

  private readonly durations: DurationForecast;
  private readonly health: HealthPolicy;
  private readonly directory: EndpointDirectory;
  private readonly ready: ReadySteps;
  private readonly scheduler: StepScheduler;
  private readonly dispatcher: RunDispatcher;
  private readonly adopter: RunAdopter;
  private readonly ends: RunEnds;
  private readonly bestEffortThrottle: BestEffortThrottle;
  private readonly stragglers: StragglerDetector;
  private readonly advice: AdvicePrefetcher;
  private readonly preemption: Preemption;
  private readonly cyclePacer = new CyclePacer();
  private readonly loopLag = new EventLoopLag(HOUSEKEEPING_INTERVAL_MS);
  private readonly occurrenceTimers = new OccurrenceTimers();
  private readonly retention: JobRetention;
  private readonly closer: JobCloser;
  private readonly waves: WaveRunner;
  private readonly crashes: CrashAttribution;
  private readonly outcomes: OutcomeRecorder;
  private readonly waitLogger: WaitLogger;
  private readonly metrics: SessionMetrics;
  private readonly outages: ServiceOutages;
  private readonly earlyTrials: EarlyTrials;
  private readonly monitor: LeadershipMonitor;
  private readonly configReader: ConfigReader;
  private cycleTimer: NodeJS.Timeout | undefined;
  private housekeepingTimer: NodeJS.Timeout | undefined;
  /** All runs of the previous leader are adopted; nothing is scheduled before. */
  private hasTakenOver = false;
  private isDisposed = false;

  constructor(opts: WorkflowSessionOptions) {
    this.opts = opts;
    this.configReader = new ConfigReader(opts.state, opts.parseConfig);
    const { logger, meter, electedMs = performance.now() } = opts;
    this.takeover = new TakeoverRecorder(logger, meter, electedMs);
    this.monitor = new LeadershipMonitor({ ...opts, replicatedLog: opts.log, log: logger });
    this.context = createSessionContext(opts, {
      monitor: this.monitor,
      isDisposed: () => this.isDisposed,
      readConfig: () => this.readConfig(),
    });
    this.durations = new DurationForecast(this.context, this.loopLag);
    this.broker = createAdviceBroker(this.context);
    this.health = new EjectingHealthPolicy({
      onTransition: ({ endpointId: endpoint, ...change }) =>
        logger.info('endpoint health changed', { endpoint, ...change }),
    });
    this.directory = new EndpointDirectory(this.context, this, this.health);
    this.ready = new ReadySteps({
      state: opts.state,
      pendingOf: (step) => this.scheduler.pendingOf(step),
      isSuspect: (task, run) => this.stragglers.isSuspect(task, run),
    });
    this.crashes = new CrashAttribution({
      context: this.context,
      directory: this.directory,
      isUnderMaintenance: (instance) => this.waves.isUnderMaintenance(instance),
      onReleased: () => this.recheckBlocked(),
      onCharged: (id) => this.refreshJob(id),
    });
    this.scheduler = new StepScheduler({
      context: this.context,
      quarantine: this.crashes.quarantine,
      ready: this.ready,
      ledger: this.ledger,
      holds: this.holds,
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
      ledger: this.ledger,
      findTicket: (start) => this.scheduler.findTicket(start),
      onNotSent: (agent, runs, reason) => this.ends.recordLost(agent, runs, reason),
    });
    this.bestEffortThrottle = new BestEffortThrottle(this.context);
    this.adopter = new RunAdopter({
      state: opts.state,
      ledger: this.ledger,
      directory: this.directory,
      quarantine: this.crashes.quarantine,
      onLost: (task, run) => this.ends.recordUnadopted(task, run),
    });
    this.waves = new WaveRunner({
      context: this.context,
      directory: this.directory,
      instances: opts.instances,
      holder: opts.holder,
    });
    const { health, durations, scheduler } = this;
    this.outcomes = new OutcomeRecorder({ health, durations, scheduler });
    this.waitLogger = new WaitLogger(this.context, this.ready, this.scheduler);
    this.metrics = new SessionMetrics(this.context, this.ready, this.directory, this.durations);
    const { context, ready, directory } = this;
    this.outages = new ServiceOutages(context, ready, directory);
    this.earlyTrials = new EarlyTrials({ context, directory, health, ready, scheduler });
    this.ends = new RunEnds({
      context,
      ledger: this.ledger,
      directory,
      quarantine: this.crashes.quarantine,
      outages: this.outages,
      onChanged: (id) => this.refreshJob(id),
      onReleased: (job, occurrence) => this.closer.closeOccurrence(job, occurrence),
    });
    this.retention = new JobRetention(this.context);
    this.closer = new JobCloser({
      context,
      directory,
      retention: this.retention,
      onStepEnded: (name) => this.forgetStep(name),
    });
    this.stragglers = new StragglerDetector(
      this.context,
      this.directory,
      this.durations,
      this.loopLag,
    );
    const { ledger, holds } = this;
    const { quarantine } = this.crashes;
    const parts = { context, ready, scheduler, directory, durations, ledger, holds, quarantine };
    this.preemption = new Preemption(parts);
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
        this.holds.releaseEndpoint(id);
        const record = this.directory.find(id)?.record;
        if (record) this.crashes.handleRegistration(record);
        this.recheckBlocked();
      },
    });
    this.evacuations = new EvacuationService({
      context,
      directory,
      onChanged: () => this.recheckBlocked(),
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
      configVersion: state.config?.version,
    });
  }

  /** Returns the configuration in force, if there is one. */
  readConfig(): CellConfig | undefined {
    return this.configReader.read();
  }

  async onRunsEnded(
    agent: EndpointAgent,
    reports: { run: AgentRun; report: EndReport }[],
  ): Promise<void> {
    const ends = reports.map(({ run, report }) => ({
      task: run.task,
      run: run.run,
      outcome: report.outcome,
      checkpoint: report.checkpoint || run.checkpoint || undefined,
      durationMs: this.outcomes.recordEnd(agent, run, report),
    }));
    await this.ends.record(ends, agent.id);
  }

  /** Commits the ends of runs that were given up, whose tasks would be started again for nothing. */
  async onLateEnds(agent: EndpointAgent, reports: EndReport[]): Promise<void> {
    const ends = reports.flatMap(({ task: name, run, outcome, checkpoint }) => {
      const task = parseTaskName(name);
      if (!task || !this.opts.state.isGivenUp(task, run)) return [];
      return [{ task, run, outcome, checkpoint: checkpoint || undefined }];
    });
    if (ends.length === 0) return;
    const runs = ends.map(({ task, run, outcome }) => `${runKey(task, run)} ${outcome}`).join();
    this.opts.logger.info('runs had been given up', { endpoint: agent.id, runs });
    await this.ends.record(ends, agent.id);
  }

  onRunsLost(agent: EndpointAgent, runs: AgentRun[], reason: string): void {
    if (reason === 'no-ticket') this.scheduler.dropTickets(agent.id);
    const evidence = this.crashes.handleLoss(agent, runs, reason);
    this.outcomes.recordLoss(agent, runs, evidence.size > 0);
    if (isRejection(reason)) this.scheduler.recordRejection(agent.id, runs, reason);
    this.ends.recordLost(agent, runs, reason, evidence);
  }

  onUnknownRun(agent: EndpointAgent, active: ActiveRun): void {
    const task = parseTaskName(active.task);
    if (!task) return;
    const key = runKey(task, active.run);
    const job = this.opts.state.jobs.get(task.jobId);
    this.opts.logger.warn('endpoint reported an unknown run', { endpoint: agent.id, run: key });
    const hasStep = job?.spec.steps[task.step] !== undefined;
    if (hasStep) this.ledger.reserve(createReservation(job, task, key, agent.id));
    const run = createAgentRun(this.opts.state, task, active.run, active.checkpoint);
    agent.adopt(run);
    agent.stop(run);
  }

  onInspected(agent: EndpointAgent, active: ActiveRun[]): void {
    this.bestEffortThrottle.observe(agent, active);
  }

  onAvailabilityChange(agent: EndpointAgent): void {
    this.crashes.handleResponse(agent);
    // Only tasks that may be copied can start because the endpoint of their run is unavailable.
    const tasks = [...agent.runs.values()].map(({ task }) => task);
    const copied = tasks.filter((task) => this.opts.state.findSpec(task)?.allowsCopies);
    for (const id of new Set(copied.map(({ jobId }) => jobId))) this.refreshJob(id);
    this.recheckBlocked();
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
    this.opts.meter.setAdviceBacklog(0, 0);
    this.occurrenceTimers[Symbol.dispose]();
    this.dispatcher[Symbol.dispose]();
    this.directory[Symbol.dispose]();
    this.broker[Symbol.dispose]();
    this.crashes[Symbol.dispose]();
    this.opts.logger.notice('leadership of workflows ends', { term: this.context.fencingToken });
  }

  /** Re-evaluates a changed job: steps to start, runs to stop, timer for the next occurrence. */
  private refreshJob(id: string): void {
    const job = this.opts.state.jobs.get(id);
    const waitMs = this.ready.refresh(job, id, Date.now());
    this.occurrenceTimers.schedule(id, waitMs, () => this.refreshJob(id));
    if (job && job.status !== 'open') this.closer.close(job);
    this.requestCycle();
  }

  private forgetStep(name: string): void {
    this.scheduler.forgetStep(name);
    this.crashes.quarantine.forgetStep(name);
  }

  private recheckBlocked(): void {
    this.scheduler.recheckBlocked();
    this.requestCycle();
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
    this.preemption.run(config);
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
    this.earlyTrials.request();
    this.preemption.clean();
    this.scheduler.recheckBlocked();
    for (const id of this.retention.removeExpired()) this.occurrenceTimers.cancel(id);
    this.jobs.cancellations.removeExpired();
    this.endpoints.removeUnresponsive();
    this.metrics.update();
    this.opts.meter.setAdviceBacklog(this.broker.backlog, this.broker.oldestAgeMs);
    this.outages.update();
    this.advice.prefetchAll().catch((err: Error) => this.logFailure('advice', err));
    this.waitLogger.logWaitingSteps();
    this.waves.advance().catch((err: Error) => this.logFailure('maintenance waves', err));
    for (const id of this.stragglers.findSlowJobs()) this.refreshJob(id);
    stopStalledRuns(this.stragglers, this.outcomes, this.opts.logger);
    this.requestCycle();
  }

  private logFailure(what: string, err: Error): void {
    this.opts.logger.warn('failed to record a change', { what, err: err.message });
  }
}
