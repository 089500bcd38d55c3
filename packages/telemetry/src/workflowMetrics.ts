import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import type { CallFailureReason, FailedCallState, TakeoverPhase } from './callFailure.js';
import type { LogLevel } from './logger.js';
import type { RunLossReason } from './runLossReason.js';
import type {
  AdviceRequestResult,
  WaitingSteps,
  WorkflowMetricsRecorder,
} from './workflowMetricsRecorder.js';

/** Bucket bounds of the latency histograms. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** Bucket bounds of the event-loop delay; leadership lapses after 0.28 s without a renewal. */
const DELAY_BUCKETS_SECONDS = [0.005, 0.01, 0.02, 0.04, 0.07, 0.14, 0.28, 0.5, 1, 2];

const MS_PER_SECOND = 1000;

/** Workflow metrics in a separate registry. */
export class WorkflowMetrics implements WorkflowMetricsRecorder {
  readonly registry = new Registry();
  private readonly calls = this.createHistogram(
    'lagoongap_call_seconds',
    'Time from a call of a caller to its answer',
    ['operation', 'answer'],
  );

  private readonly taskWaits = this.createHistogram(
    'lagoongap_task_wait_seconds',
    'Time from the moment a job (or its occurrence) is due to the order of a run',
    [],
  );

  private readonly endedRuns = this.createCounter(
    'lagoongap_runs_ended_total',
    'Runs of tasks that ended, by outcome',
    ['outcome'],
  );

  private readonly lostRuns = this.createCounter(
    'lagoongap_runs_lost_total',
    'Runs that ended without a report of their endpoint, by reason',
    ['reason'],
  );

  private readonly preemptedRuns = this.createCounter(
    'lagoongap_preempted_runs_total',
    'Runs stopped for more urgent work, by priority of their own queue',
    ['priority'],
  );

  private readonly freedRoomUses = this.createHistogram(
    'lagoongap_freed_room_use_seconds',
    'Time from the stop of a run for urgent work to the placement of a task in its room',
    [],
  );

  private readonly expiredHolds = this.createCounter(
    'lagoongap_expired_holds_total',
    'Reservations of capacity that expired before their step used them',
    [],
  );

  private readonly endpointCrashes = this.createCounter(
    'lagoongap_endpoint_crashes_total',
    'Endpoints that came back as a newer incarnation without a planned end, with runs on them',
    [],
  );

  private readonly crashedRuns = this.createCounter(
    'lagoongap_crashed_runs_total',
    'Runs that were on an endpoint when it crashed',
    [],
  );

  private readonly jobs = this.createHistogram(
    'lagoongap_job_seconds',
    'Time from the acceptance of a job to its end',
    ['status'],
  );

  private readonly lateSubmissions = this.createCounter(
    'lagoongap_late_submissions_total',
    'Submissions that arrived after their cancellation and were stored as cancelled',
    [],
  );

  private readonly earlyCancellations = this.createGauge(
    'lagoongap_early_cancellations',
    'Recorded cancellations of unknown jobs, whose submissions may still arrive',
    [],
  );

  private readonly advice = this.createHistogram(
    'lagoongap_advice_seconds',
    'Time from a question for the advisor to its answer',
    ['answered'],
  );

  private readonly adviceRequests = this.createCounter(
    'lagoongap_advice_requests_total',
    'Requests for a question to the advisor, by what became of them',
    ['result'],
  );

  private readonly adviceCalls = this.createHistogram(
    'lagoongap_advice_call_seconds',
    'Time of a call to the advisor, by priority of the queue',
    ['priority'],
  );

  private readonly waitingAdvice = this.createGauge(
    'lagoongap_waiting_advice_requests',
    'Requests for a question to the advisor that no instance has yet',
    [],
  );

  private readonly oldestAdvice = this.createGauge(
    'lagoongap_oldest_advice_request_seconds',
    'Age of the oldest request for a question to the advisor that no instance has yet',
    [],
  );

  private readonly commits = this.createHistogram(
    'lagoongap_workflow_commit_seconds',
    'Time from the proposal of a change to its commit',
    [],
  );

  private readonly orders = this.createHistogram(
    'lagoongap_order_seconds',
    'Time from an order to an endpoint to its answer',
    ['order', 'outcome'],
  );

  private readonly leaderships = this.createCounter(
    'lagoongap_leaderships_total',
    'Leaderships that began on this instance',
    [],
  );

  private readonly endpoints = this.createGauge(
    'lagoongap_workflow_endpoints',
    'Endpoints that the leader knows',
    ['state'],
  );

  private readonly evacuations = this.createGauge(
    'lagoongap_evacuations',
    'Data centres that are evacuated',
    [],
  );

  private readonly configVersion = this.createGauge(
    'lagoongap_config_version',
    'Version of the configuration in force',
    [],
  );

  private readonly droppedLogLines = this.createGauge(
    'lagoongap_log_lines_left_out',
    'Log lines left out because their reader was slow',
    ['level'],
  );

  private readonly callFailures = this.createCounter(
    'lagoongap_call_failures_total',
    'Calls of callers that were refused or got no response, by reason',
    ['reason', 'state'],
  );

  private readonly tryFailures = this.createCounter(
    'lagoongap_leader_try_failures_total',
    'Tries to reach the leader that failed, by reason; a call may take several',
    ['reason'],
  );

  private readonly rejectedHeartbeats = this.createCounter(
    'lagoongap_rejected_heartbeats_total',
    'Heartbeats that cannot come from an endpoint, by their first invalid field',
    ['reason'],
  );

  private readonly clientLimits = this.createCounter(
    'lagoongap_client_limits_total',
    'Requests and connections of clients that a limit has refused or closed',
    ['listener', 'limit'],
  );

  private readonly leaderAbsence = this.createCounter(
    'lagoongap_without_leader_seconds_total',
    'Time for which this instance had no valid leader',
    [],
  );

  private readonly leaderAbsent = this.createGauge(
    'lagoongap_without_leader',
    'Whether this instance has no valid leader at present',
    [],
  );

  private readonly invalidLeadership = this.createCounter(
    'lagoongap_invalid_leadership_seconds_total',
    'Time for which this instance led without valid leadership',
    [],
  );

  private readonly takeovers = this.createHistogram(
    'lagoongap_takeover_seconds',
    'Time from the election of this instance to a phase of its leadership',
    ['phase'],
  );

  private readonly eventLoopDelay = this.createHistogram(
    'lagoongap_event_loop_delay_seconds',
    'Delay of the event loop of the leader',
    [],
    DELAY_BUCKETS_SECONDS,
  );

  private readonly leaderCalls = this.createHistogram(
    'lagoongap_leader_call_seconds',
    'Time that the leader took for a call of another instance',
    ['method', 'answered'],
  );

  private readonly waitingSteps = this.createGauge(
    'lagoongap_waiting_steps',
    'Steps with tasks that are ready to start, by priority of the queue',
    ['priority'],
  );

  private readonly waitingTasks = this.createGauge(
    'lagoongap_waiting_tasks',
    'Tasks that are ready to start, by priority of the queue',
    ['priority'],
  );

  private readonly longestWait = this.createGauge(
    'lagoongap_longest_wait_seconds',
    'Longest time for which a step has been ready to start, by priority of the queue',
    ['priority'],
  );

  private readonly expectedLateJobs = this.createGauge(
    'lagoongap_jobs_expected_late',
    'Waiting jobs that are expected to be late, by priority of the queue',
    ['priority'],
  );

  private readonly durationClasses = this.createGauge(
    'lagoongap_duration_classes',
    'Classes of work whose durations have been learned',
    [],
  );

  private readonly serviceTasksDown = this.createGauge(
    'lagoongap_service_tasks_without_run',
    'Tasks of services that have no confirmed run',
    [],
  );

  private readonly longestServiceOutage = this.createGauge(
    'lagoongap_longest_service_outage_seconds',
    'Longest time for which a task of a service has had no confirmed run',
    [],
  );

  countCall(operation: string, answer: string, durationMs: number): void {
    this.calls.observe({ operation, answer }, durationMs / MS_PER_SECOND);
  }

  countRunOrdered(waitedMs: number): void {
    this.taskWaits.observe(Math.max(0, waitedMs) / MS_PER_SECOND);
  }

  countRunEnded(outcome: string): void {
    this.endedRuns.inc({ outcome });
  }

  countLostRuns(reason: RunLossReason, count: number): void {
    this.lostRuns.inc({ reason }, count);
  }

  countPreemptedRun(priority: number): void {
    this.preemptedRuns.inc({ priority });
  }

  observeFreedRoomUse(durationMs: number): void {
    this.freedRoomUses.observe(durationMs / MS_PER_SECOND);
  }

  countExpiredHolds(count: number): void {
    this.expiredHolds.inc(count);
  }

  countEndpointCrash(runs: number): void {
    this.endpointCrashes.inc();
    this.crashedRuns.inc(runs);
  }

  countJobEnded(status: string, durationMs: number): void {
    this.jobs.observe({ status }, Math.max(0, durationMs) / MS_PER_SECOND);
  }

  countLateSubmission(): void {
    this.lateSubmissions.inc();
  }

  setEarlyCancellations(count: number): void {
    this.earlyCancellations.set(count);
  }

  countAdvice(isAnswered: boolean, durationMs: number): void {
    this.advice.observe({ answered: String(isAnswered) }, durationMs / MS_PER_SECOND);
  }

  countAdviceRequest(result: AdviceRequestResult): void {
    this.adviceRequests.inc({ result });
  }

  observeAdviceCall(priority: string, durationMs: number): void {
    this.adviceCalls.observe({ priority }, durationMs / MS_PER_SECOND);
  }

  setAdviceBacklog(requests: number, oldestMs: number): void {
    this.waitingAdvice.set(requests);
    this.oldestAdvice.set(oldestMs / MS_PER_SECOND);
  }

  countCommit(durationMs: number): void {
    this.commits.observe(durationMs / MS_PER_SECOND);
  }

  countOrder(order: string, outcome: string, durationMs: number): void {
    this.orders.observe({ order, outcome }, durationMs / MS_PER_SECOND);
  }

  countLeadership(): void {
    this.leaderships.inc();
  }

  setEndpoints(available: number, known: number): void {
    this.endpoints.set({ state: 'available' }, available);
    this.endpoints.set({ state: 'known' }, known);
  }

  setColdEndpoints(count: number): void {
    this.endpoints.set({ state: 'cold' }, count);
  }

  setEvacuations(dataCentres: number, endpoints: number): void {
    this.evacuations.set(dataCentres);
    this.endpoints.set({ state: 'evacuated' }, endpoints);
  }

  setConfigVersion(version: number): void {
    this.configVersion.set(version);
  }

  countCallFailure(reason: CallFailureReason, state: FailedCallState): void {
    this.callFailures.inc({ reason, state });
  }

  countTryFailure(reason: CallFailureReason): void {
    this.tryFailures.inc({ reason });
  }

  countRejectedHeartbeat(field: string): void {
    this.rejectedHeartbeats.inc({ reason: field });
  }

  countClientLimit(listener: string, limit: string): void {
    this.clientLimits.inc({ listener, limit });
  }

  addLeaderAbsence(durationMs: number): void {
    this.leaderAbsence.inc(durationMs / MS_PER_SECOND);
  }

  setLeaderAbsent(isAbsent: boolean): void {
    this.leaderAbsent.set(isAbsent ? 1 : 0);
  }

  addInvalidLeadership(durationMs: number): void {
    this.invalidLeadership.inc(durationMs / MS_PER_SECOND);
  }

  observeTakeover(phase: TakeoverPhase, durationMs: number): void {
    this.takeovers.observe({ phase }, durationMs / MS_PER_SECOND);
  }

  observeEventLoopDelay(durationMs: number): void {
    this.eventLoopDelay.observe(durationMs / MS_PER_SECOND);
  }

  observeLeaderCall(method: string, isAnswered: boolean, durationMs: number): void {
    const labels = { method, answered: String(isAnswered) };
    this.leaderCalls.observe(labels, durationMs / MS_PER_SECOND);
  }

  setWaitingSteps(waiting: ReadonlyMap<number, WaitingSteps>): void {
    for (const gauge of [this.waitingSteps, this.waitingTasks, this.longestWait]) gauge.reset();
    for (const [priority, { steps, tasks, longestWaitMs }] of waiting) {
      this.waitingSteps.set({ priority }, steps);
      this.waitingTasks.set({ priority }, tasks);
      this.longestWait.set({ priority }, longestWaitMs / MS_PER_SECOND);
    }
  }

  setExpectedLateJobs(jobs: ReadonlyMap<number, number>): void {
    this.expectedLateJobs.reset();
    for (const [priority, count] of jobs) this.expectedLateJobs.set({ priority }, count);
  }

  setDurationClasses(count: number): void {
    this.durationClasses.set(count);
  }

  setServiceOutages(tasks: number, longestMs: number): void {
    this.serviceTasksDown.set(tasks);
    this.longestServiceOutage.set(longestMs / MS_PER_SECOND);
  }

  /** Sets the number of log lines of a level that were left out since the start of the process. */
  setDroppedLogLines(level: LogLevel, count: number): void {
    this.droppedLogLines.set({ level }, count);
  }

  private createHistogram(
    name: string,
    help: string,
    labelNames: string[],
    buckets: readonly number[] = LATENCY_BUCKETS_SECONDS,
  ): Histogram {
    const registers = [this.registry];
    return new Histogram({ name, help, labelNames, buckets: [...buckets], registers });
  }

  private createCounter(name: string, help: string, labelNames: string[]): Counter {
    return new Counter({ name, help, labelNames, registers: [this.registry] });
  }

  private createGauge(name: string, help: string, labelNames: string[]): Gauge {
    return new Gauge({ name, help, labelNames, registers: [this.registry] });
  }
}
