import { delay } from '@lagoongap/model/delay.js';
import type { Log } from '@lagoongap/model/log.js';

import type { AgentRun } from './agentRun.js';
import type {
  ActiveRun,
  EndpointDriver,
  EndReport,
  Inspection,
  OrderFailure,
  StartOrder,
  StartOutcome,
  StartResponse,
} from './endpointDriver.js';
import { chooseInspectionWaitMs, isRetriedWhileLeaving } from './inspectionPacing.js';
import { LeaseClock } from './leaseClock.js';
import { ReportCursor } from './reportCursor.js';
import { EndpointWarmup } from './endpointWarmup.js';
import type { EndpointRecord } from './workflowRecords.js';

/** Receives events of an agent. */
export interface AgentListener {
  /** Resolves when the ends are durable. */
  onRunsEnded(agent: EndpointAgent, reports: { run: AgentRun; report: EndReport }[]): Promise<void>;
  /** Resolves when the ends of runs that this agent does not know, as far as they count, are durable. */
  onLateEnds(agent: EndpointAgent, reports: EndReport[]): Promise<void>;
  /** The runs are not on the endpoint and cannot start there later. */
  onRunsLost(agent: EndpointAgent, runs: AgentRun[], reason: string): void;
  /** The endpoint reported a run that this leader has no record of. */
  onUnknownRun(agent: EndpointAgent, active: ActiveRun): void;
  /** Called with the active runs after each inspection. */
  onInspected(agent: EndpointAgent, active: ActiveRun[]): void;
  onAvailabilityChange(agent: EndpointAgent): void;
  /** The endpoint announced its shutdown and can no longer be running anything. */
  onLeft(agent: EndpointAgent): void;
  /** The endpoint has received orders from a newer leader. */
  onFenced(): void;
}

/** Last signs of life of an incarnation that has ended; monotonic times. */
export interface IncarnationEnd {
  lastContactMs: number;
  /** It has responded to this leader; otherwise it may have ended at any time before. */
  wasInContact: boolean;
  /** Time at which it was first noticed, by a failed inspection or by the next incarnation. */
  noticedMs: number;
  /** It had announced its shutdown. */
  wasLeaving: boolean;
}

/** Reason for the loss of runs whose endpoint has come back under another id. */
export const REPLACED_REASON = 'replaced by a newer incarnation';

/** Options of an {@link EndpointAgent}. */
export interface EndpointAgentOptions {
  record: EndpointRecord;
  driver: EndpointDriver;
  listener: AgentListener;
  fencingToken: number;
  /** Length of a lease in milliseconds. */
  leaseMs: number;
  /** Longest lease that any leader can have granted in milliseconds. */
  maxLeaseMs: number;
  /** Monotonic time after which no earlier leader can have granted a lease. */
  predecessorEndMs: number;
  /** Returns whether the leadership of this instance is valid. */
  isValid: () => boolean;
  log: Log;
}

/** Delay after an inspection without a response. */
const INSPECTION_RETRY_MS = 100;

/**
 * Part of the lease that an endpoint gets while it drains. If its end goes unnoticed, its tasks wait
 * until the lease has expired; work that it loses to a short partition would soon have ended anyway.
 */
const DRAINING_LEASE_SHARE = 0.5;

/** Maximum number of reports in a response; a full response may omit further ends. */
const MAX_REPORTS = 500;

/** Percent that an endpoint reports for a run that does its full work. */
const FULL_WORK_PERCENT = 100;

/** Delay between two stop orders for the same run. */
const STOP_RETRY_MS = 300;

/** Margin on the longest lease of a previous leader, for clock drift and rounding. */
const PREDECESSOR_LEASE_MARGIN_FACTOR = 1.05;

/**
 * Manages one endpoint on behalf of one leadership: renews its lease, tracks its runs by polling
 * (inspections), and sends start and stop orders. Idle endpoints are not inspected.
 */
export class EndpointAgent implements Disposable {
  record: EndpointRecord;
  /** The endpoint has reported its runs to this leader. */
  isSynced = false;
  /** The latest inspection failed. */
  isSuspect = false;
  /** Monotonic time of the first inspection that failed after the latest response. */
  silentSinceMs = Infinity;
  /** End of the incarnation before the present one, if the id was kept. */
  previousEnd: IncarnationEnd | undefined;
  /** A task with a latency target runs on the endpoint. */
  hasLatencyTarget = false;
  lastHeartbeatMs = performance.now();
  /** Monotonic time of the latest response to an inspection. */
  lastResponseMs = -Infinity;
  lastSequence: number;
  /** The endpoint has announced its shutdown. */
  isLeaving = false;
  readonly runs = new Map<string, AgentRun>();
  readonly clock = new LeaseClock();
  readonly warmup: EndpointWarmup;
  private readonly opts: EndpointAgentOptions;
  /** Increases with each incarnation of the endpoint; state of an earlier one must not be used. */
  private incarnationNumber = 0;
  /** Incarnation that the readings and leases of the clock belong to. */
  private clockIncarnation = '';
  private readonly reports = new ReportCursor();
  private isStarted = false;
  private isDisposed = false;
  private wake: (() => void) | undefined;
  private processing: Promise<void> = Promise.resolve();

  constructor(opts: EndpointAgentOptions) {
    this.opts = opts;
    this.record = opts.record;
    this.lastSequence = opts.record.sequence ?? -1;
    this.warmup = new EndpointWarmup(opts.predecessorEndMs);
  }

  get id(): string {
    return this.record.id;
  }

  private get incarnation(): string {
    return `${this.record.bornMs} ${this.record.address}`;
  }

  /** Records the clock in a heartbeat of the endpoint. */
  observeClock(clockMs: number): void {
    if (this.clockIncarnation !== this.incarnation) return;
    this.clock.observeHeartbeat(clockMs, performance.now());
  }

  /** Starts the inspection loop; does nothing if it has been started. */
  start(): void {
    if (this.isStarted) return;
    this.isStarted = true;
    this.loop().catch((err: Error) => {
      this.opts.log.error('endpoint agent failed', { endpoint: this.id, err: err.message });
    });
  }

  /** Adds a run that this leader has not ordered itself. */
  adopt(run: AgentRun): void {
    this.runs.set(run.key, run);
    this.requestInspection();
  }

  /**
   * Sends the start order for a run that is already durable.
   *
   * @param leaseFromMs - Monotonic time, read before the validity of the leadership was checked.
   */
  async order(
    run: AgentRun,
    payload: string,
    ticket: string | undefined,
    leaseFromMs: number,
  ): Promise<void> {
    const { driver, fencingToken, leaseMs } = this.opts;
    this.runs.set(run.key, run);
    const order: StartOrder = {
      task: run.name,
      run: run.run,
      payload,
      untilMs: this.clock.grant(leaseMs, leaseFromMs),
      fencingToken,
      checkpoint: run.checkpoint === '' ? undefined : run.checkpoint,
      ticket,
    };
    const sentMs = performance.now();
    run.orderedMs = sentMs;
    const { incarnationNumber } = this;
    const response = await driver.start(this.record, order);
    if (this.isDisposed) return;
    const receivedMs = performance.now();
    const isOfIncarnation =
      incarnationNumber === this.incarnationNumber &&
      this.observeResponse(response, sentMs, receivedMs);
    if (!isOfIncarnation) this.reports.doubt();
    // The endpoint is inspected before it is ordered anything further.
    if (response && !isOfIncarnation) this.isSynced = false;
    // A start by another incarnation tells nothing about this one.
    if (!response || (response.outcome === 'started' && !isOfIncarnation)) {
      run.phase = 'unsettled';
      await this.resolveUnsettled(run);
      return;
    }
    if (response.outcome === 'started') {
      run.phase = 'running';
      run.confirmedMs = receivedMs;
      this.requestInspection();
    } else if (response.outcome === 'fenced') {
      this.opts.listener.onFenced();
    } else {
      this.handleRejection(response.outcome);
      this.drop([run], response.outcome);
    }
  }

  /** Takes the clock from the response to an order; returns whether it is of this incarnation. */
  private observeResponse(
    response: StartResponse | undefined,
    sentMs: number,
    receivedMs: number,
  ): boolean {
    if (response?.clockMs === undefined) return response !== undefined;
    const reading = { clockMs: response.clockMs, sentMs, receivedMs };
    if (!this.clock.isPossible(reading)) return false;
    this.clock.observe(reading);
    return true;
  }

  /** Gives no further work to an endpoint that differs from its record, until it has been inspected. */
  private handleRejection(outcome: StartOutcome): void {
    if (outcome === 'not-sent') this.markSuspect('unreachable');
    else if (outcome === 'unhealthy' || outcome === 'wrong-instance') this.markSuspect(outcome);
    else if (outcome === 'no-room' || outcome === 'superseded') this.isSynced = false;
    this.requestInspection();
  }

  /**
   * Determines whether a start order without a response arrived. If the endpoint does not list the
   * run, a stop order is sent first, so that the start order has no effect if it arrives later.
   */
  private async resolveUnsettled(run: AgentRun): Promise<void> {
    const { driver, fencingToken, isValid, log } = this.opts;
    log.info('start order got no response', { run: run.key, endpoint: this.id });
    while (!this.isDisposed && this.runs.has(run.key) && run.phase === 'unsettled') {
      const hasResponded = await this.inspect(0);
      if (run.phase !== 'unsettled' || !this.runs.has(run.key)) break;
      if (!hasResponded) {
        await delay(INSPECTION_RETRY_MS);
      } else if (run.isStopped) {
        this.drop([run], 'the order never arrived');
      } else if (isValid()) {
        const order = { task: run.name, run: run.run, fencingToken };
        run.isStopped = await driver.stop(this.record, order);
      }
    }
    this.requestInspection();
  }

  /** Stops a run; the order is repeated until the endpoint accepts it or the run has ended. */
  stop(run: AgentRun): void {
    if (run.isStopping) return;
    run.isStopping = true;
    this.stopUntilAccepted(run).catch((err: Error) => {
      this.opts.log.error('stop order failed', { run: run.key, err: err.message });
    });
  }

  /** Applies changed properties or a new incarnation of the endpoint. */
  update(record: EndpointRecord): void {
    const isNewIncarnation =
      record.bornMs !== this.record.bornMs || record.address !== this.record.address;
    if (isNewIncarnation) this.previousEnd = this.describeEnd();
    this.record = record;
    if (isNewIncarnation) this.resetIncarnation();
    this.requestInspection();
  }

  /** Returns the last signs of life of this incarnation, which has ended. */
  describeEnd(): IncarnationEnd {
    return {
      lastContactMs: Math.max(this.lastResponseMs, this.lastHeartbeatMs),
      wasInContact: this.lastResponseMs > -Infinity,
      noticedMs: Math.min(this.silentSinceMs, performance.now()),
      wasLeaving: this.isLeaving || this.record.isDraining,
    };
  }

  /** Stops the agent; all runs of the endpoint are lost. */
  markRemoved(reason: string): void {
    this.isDisposed = true;
    this.wake?.();
    this.opts.driver.disconnect(this.record);
    this.drop([...this.runs.values()], reason);
  }

  /** Wakes the inspection loop. */
  requestInspection(): void {
    this.wake?.();
  }

  [Symbol.dispose](): void {
    this.isDisposed = true;
    this.wake?.();
  }

  private resetIncarnation(): void {
    this.incarnationNumber += 1;
    this.reports.reset();
    this.isSynced = false;
    this.isSuspect = false;
    this.silentSinceMs = Infinity;
    // The stop orders were accepted by the incarnation that has ended.
    for (const run of this.runs.values()) run.isStopped = false;
  }

  private async loop(): Promise<void> {
    let failures = 0;
    while (!this.isDisposed) {
      if (!this.needsInspection()) {
        await this.sleep(undefined);
        continue;
      }
      const hasResponded = await this.inspect(this.chooseWaitMs()).catch((err: Error) => {
        this.opts.log.warn('inspection failed', { endpoint: this.id, err: err.message });
        return false;
      });
      if (this.isDisposed) return;
      failures = hasResponded || !this.isSuspect ? 0 : failures + 1;
      const isRetriedAtOnce = this.isLeaving && isRetriedWhileLeaving(failures);
      if (!hasResponded && !isRetriedAtOnce) await this.sleep(INSPECTION_RETRY_MS);
    }
  }

  private needsInspection(): boolean {
    const { isSynced, isSuspect, isLeaving, reports } = this;
    return !isSynced || isSuspect || isLeaving || reports.hasUnacknowledged || this.runs.size > 0;
  }

  private get renewalMs(): number {
    const { leaseMs } = this.opts;
    return this.record.isDraining ? leaseMs * DRAINING_LEASE_SHARE : leaseMs;
  }

  /** Resolves with whether the current incarnation of the endpoint has responded. */
  private async inspect(waitMs: number): Promise<boolean> {
    const { driver, fencingToken, isValid } = this.opts;
    // The lease is counted from before the check, as the process may be suspended after it.
    const sentMs = performance.now();
    if (!isValid()) return false;
    const { record, incarnationNumber } = this;
    // An unresponsive endpoint may still receive orders; its lease must be allowed to expire.
    const isCurrentClock = this.clockIncarnation === this.incarnation;
    const canRenew = this.clock.hasReading && isCurrentClock && !this.isSuspect;
    const result = await driver.inspect(record, {
      fencingToken,
      ackedReport: this.reports.acknowledgeable,
      untilMs: canRenew ? this.clock.grant(this.renewalMs, sentMs) : undefined,
      waitMs,
    });
    if (this.isDisposed) return false;
    if ('failure' in result) {
      this.reports.doubt();
      this.handleFailure(result.failure);
      return false;
    }
    const { answer } = result;
    const isOtherIncarnation =
      answer.bornMs > 0 && record.bornMs > 0 && answer.bornMs !== record.bornMs;
    if (this.record !== record || isOtherIncarnation) {
      // The heartbeat of the new incarnation describes it; until then the response is ignored.
      this.reports.doubt();
      if (isOtherIncarnation && answer.bornMs > this.record.bornMs) this.markSilent();
      return false;
    }
    this.lastResponseMs = performance.now();
    this.reports.recordResponse(sentMs);
    // The leases of an earlier incarnation may run on until the new one has responded.
    if (!isCurrentClock) this.clock.reset();
    this.clockIncarnation = this.incarnation;
    this.clock.observe({ clockMs: answer.clockMs, sentMs, receivedMs: this.lastResponseMs });
    // Processed in order, so that no report is acknowledged before its end is durable.
    const previous = this.processing;
    this.processing = previous
      .catch(() => undefined)
      .then(() => this.processInspection(answer, sentMs, incarnationNumber));
    await this.processing;
    return true;
  }

  private chooseWaitMs(): number {
    if (!this.isSynced) return 0;
    const isUrgent = this.hasLatencyTarget || this.record.isDraining;
    return chooseInspectionWaitMs(this.runs.values(), isUrgent);
  }

  private async processInspection(
    inspection: Inspection,
    sentMs: number,
    incarnationNumber: number,
  ): Promise<void> {
    const { listener } = this.opts;
    // The endpoint may have restarted while an earlier response was processed.
    if (incarnationNumber !== this.incarnationNumber) return;
    const wasAvailable = this.isSynced && !this.isSuspect;
    this.isSuspect = false;
    this.silentSinceMs = Infinity;
    const ends: { run: AgentRun; report: EndReport }[] = [];
    const lateEnds: EndReport[] = [];
    for (const report of this.reports.listNew(inspection.ended)) {
      const run = this.runs.get(`${report.task}:${report.run}`);
      if (run) ends.push({ run, report });
      else lateEnds.push(report);
    }
    for (const active of inspection.active) {
      const run = this.runs.get(`${active.task}:${active.run}`);
      if (!run) listener.onUnknownRun(this, active);
      else this.confirm(run, active);
    }
    const isComplete = !inspection.hasInvalidRows && inspection.ended.length < MAX_REPORTS;
    for (const { run } of ends) this.runs.delete(run.key);
    if (ends.length > 0) await listener.onRunsEnded(this, ends);
    if (lateEnds.length > 0) await listener.onLateEnds(this, lateEnds);
    if (this.isDisposed || incarnationNumber !== this.incarnationNumber) return;
    if (isComplete) this.dropAbsentRuns(inspection.active, sentMs);
    this.reports.recordProcessed(inspection.ended);
    this.isSynced = true;
    listener.onInspected(this, inspection.active);
    if (!wasAvailable) listener.onAvailabilityChange(this);
  }

  private confirm(run: AgentRun, active: ActiveRun): void {
    if (active.checkpoint !== '') run.checkpoint = active.checkpoint;
    run.isAtWork = active.percent >= FULL_WORK_PERCENT;
    if (run.phase !== 'unsettled') return;
    run.phase = 'running';
    run.confirmedMs = performance.now();
  }

  /** Drops runs that are missing from the response to an inspection sent at `sentMs`. */
  private dropAbsentRuns(active: ActiveRun[], sentMs: number): void {
    const listed = new Set(active.map(({ task, run }) => `${task}:${run}`));
    const lost: AgentRun[] = [];
    for (const run of this.runs.values()) {
      if (listed.has(run.key)) continue;
      if (run.phase === 'running' && (run.confirmedMs ?? -Infinity) < sentMs) lost.push(run);
    }
    if (lost.length > 0) this.drop(lost, 'not reported by the endpoint');
  }

  private handleFailure(failure: OrderFailure): void {
    const { listener } = this.opts;
    if (failure === 'fenced') {
      listener.onFenced();
      return;
    }
    this.markSuspect(failure);
    const haveRunsEnded = this.runs.size === 0 || this.haveLeasesEnded();
    if (this.isLeaving) {
      // An announced shutdown may still be in progress behind a partition.
      if (failure === 'refused' || haveRunsEnded) listener.onLeft(this);
    } else if (haveRunsEnded) {
      // An order in flight may still start its run.
      const settled = [...this.runs.values()].filter(({ phase }) => phase !== 'ordered');
      this.drop(settled, 'the lease expired');
    }
  }

  private markSilent(): void {
    this.isSuspect = true;
    this.silentSinceMs = Math.min(this.silentSinceMs, performance.now());
  }

  private markSuspect(failure: OrderFailure): void {
    if (this.isSuspect) return;
    this.markSilent();
    const { listener, log } = this.opts;
    log.warn('endpoint does not answer', { endpoint: this.id, failure, runs: this.runs.size });
    listener.onAvailabilityChange(this);
  }

  private haveLeasesEnded(): boolean {
    const nowMs = performance.now();
    const { maxLeaseMs, predecessorEndMs } = this.opts;
    const havePredecessorLeasesEnded =
      nowMs - predecessorEndMs > maxLeaseMs * PREDECESSOR_LEASE_MARGIN_FACTOR;
    return havePredecessorLeasesEnded && (!this.clock.hasReading || this.clock.hasExpired(nowMs));
  }

  private drop(runs: AgentRun[], reason: string): void {
    const dropped = runs.filter(({ key }) => this.runs.delete(key));
    if (dropped.length > 0) this.opts.listener.onRunsLost(this, dropped, reason);
  }

  private async stopUntilAccepted(run: AgentRun): Promise<void> {
    const { driver, fencingToken, isValid } = this.opts;
    while (!this.isDisposed && this.runs.has(run.key)) {
      const order = { task: run.name, run: run.run, fencingToken };
      // No orders without valid leadership, which may be regained shortly.
      if (isValid() && (await driver.stop(this.record, order))) {
        run.isStopped = true;
        this.requestInspection();
        return;
      }
      await delay(STOP_RETRY_MS);
    }
  }

  /** Sleeps until woken, or for at most `ms`. */
  private async sleep(ms: number | undefined): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    await new Promise<void>((resolve) => {
      this.wake = resolve;
      if (ms !== undefined) timer = setTimeout(resolve, ms);
    });
    clearTimeout(timer);
    this.wake = undefined;
  }
}
