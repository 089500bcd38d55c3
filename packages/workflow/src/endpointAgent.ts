import { delay } from '@lagoongap/model/delay.js';
import type { Log } from '@lagoongap/model/log.js';

import type {
  ActiveRun,
  EndpointDriver,
  EndReport,
  Inspection,
  OrderFailure,
  StartOrder,
} from './endpointDriver.js';
import type { TaskRef } from './jobSpec.js';
import { LeaseClock } from './leaseClock.js';
import type { EndpointRecord } from './workflowRecords.js';

/**
 * Knowledge about a run on an endpoint: `ordered` while the start order is under way, `unsettled`
 * if it may or may not have arrived, `running` once it was confirmed or adopted.
 */
export type RunPhase = 'ordered' | 'unsettled' | 'running';

/** A run that counts on an endpoint. */
export interface AgentRun {
  /** Unique name of the run: `<task name>:<run number>`. */
  key: string;
  name: string;
  task: TaskRef;
  run: number;
  phase: RunPhase;
  /** Monotonic time since which an inspection must show the run. */
  confirmedMs: number;
  /** Monotonic time of the start order. */
  orderedMs: number;
  isStopping: boolean;
  /** A stop order was accepted, so the run cannot come back. */
  isStopped: boolean;
  /** Rough estimate of the duration in milliseconds. */
  estimateMs: number;
  /** Latest saved progress. */
  checkpoint: string;
}

/** Receives what an agent learns. */
export interface AgentListener {
  /** Resolves when the ends are durable. */
  onEnds(agent: EndpointAgent, reports: { run: AgentRun; report: EndReport }[]): Promise<void>;
  /** The runs are certainly not on the endpoint and never will be. */
  onLost(agent: EndpointAgent, runs: AgentRun[], reason: string): void;
  /** The endpoint runs something that is not known here. */
  onUnknownRun(agent: EndpointAgent, active: ActiveRun): void;
  /** Called with all runs after each inspection. */
  onInspected(agent: EndpointAgent, active: ActiveRun[]): void;
  onAvailabilityChange(agent: EndpointAgent): void;
  /** The endpoint has said that it ends, and answers no more. */
  onLeft(agent: EndpointAgent): void;
  /** A newer leader has given orders. */
  onFenced(): void;
}

/** Options of an {@link EndpointAgent}. */
export interface EndpointAgentOptions {
  record: EndpointRecord;
  driver: EndpointDriver;
  listener: AgentListener;
  fencingToken: number;
  /** Length of a lease in milliseconds. */
  leaseMs: number;
  /** Longest lease that anyone can have granted in milliseconds. */
  maxLeaseMs: number;
  /** Monotonic time at which this leadership began. */
  sessionStartMs: number;
  /** Tells whether this instance still leads. */
  isValid: () => boolean;
  log: Log;
}

/** Longest wait of an inspection for an end. */
const MAX_WAIT_MS = 2000;

/** Wait where short tasks run; an inspection that is lost holds up their ends this long. */
const SHORT_WAIT_MS = 700;

/** Estimate up to which a task is short. */
const SHORT_TASK_MS = 2000;

/** Pause after an inspection without an answer. */
const RETRY_MS = 100;

/** Reports that an answer holds at most; a full answer does not show all ends. */
const MAX_REPORTS = 500;

/** Pause between two stop orders for one run. */
const STOP_RETRY_MS = 300;

/** Margin on the longest lease of a predecessor, for clock rates and rounding. */
const PREDECESSOR_MARGIN = 1.05;

/**
 * Keeps watch over one endpoint for one leadership: renews its lease, learns what runs and ends,
 * and carries start and stop orders. Idle endpoints are not inspected.
 */
export class EndpointAgent implements Disposable {
  record: EndpointRecord;
  /** The endpoint has told this leader what it runs. */
  isSynced = false;
  /** The latest call had no answer. */
  isSuspect = false;
  /** Response times on the endpoint are watched. */
  isWatched = false;
  lastHeartbeatMs = performance.now();
  /** Monotonic time of the latest answer to an inspection. */
  lastAnswerMs = -Infinity;
  lastSequence = -1;
  /** Set when the endpoint has said that it ends. */
  isLeaving = false;
  readonly runs = new Map<string, AgentRun>();
  readonly clock = new LeaseClock();
  private readonly opts: EndpointAgentOptions;
  private ackedReport = 0;
  private hasUnackedReports = false;
  private isDisposed = false;
  private wake: (() => void) | undefined;
  private takingUp: Promise<void> = Promise.resolve();

  constructor(opts: EndpointAgentOptions) {
    this.opts = opts;
    this.record = opts.record;
  }

  get id(): string {
    return this.record.id;
  }

  /** Begins to watch. */
  start(): void {
    this.loop().catch((err: Error) => {
      this.opts.log.error('endpoint agent failed', { endpoint: this.id, err: err.message });
    });
  }

  /** Takes up a run that is recorded but not ordered by this leader. */
  adopt(run: AgentRun): void {
    this.runs.set(run.key, run);
    this.poke();
  }

  /** Orders the start of a run that is already durable. */
  async order(run: AgentRun, payload: string, ticket: string | undefined): Promise<void> {
    const { driver, fencingToken, leaseMs } = this.opts;
    this.runs.set(run.key, run);
    const order: StartOrder = {
      task: run.name,
      run: run.run,
      payload,
      untilMs: this.clock.grant(leaseMs, performance.now()),
      fencingToken,
      checkpoint: run.checkpoint === '' ? undefined : run.checkpoint,
      ticket,
    };
    const sentMs = performance.now();
    run.orderedMs = sentMs;
    const answer = await driver.start(this.record, order);
    if (this.isDisposed) return;
    if (!answer) {
      run.phase = 'unsettled';
      await this.settle(run);
      return;
    }
    const receivedMs = performance.now();
    if (answer.clockMs !== undefined) {
      this.clock.observe({ clockMs: answer.clockMs, sentMs, receivedMs });
    }
    if (answer.outcome === 'started') {
      run.phase = 'running';
      run.confirmedMs = receivedMs;
      this.poke();
    } else if (answer.outcome === 'fenced') {
      this.opts.listener.onFenced();
    } else {
      this.drop([run], answer.outcome);
    }
  }

  /**
   * Finds out whether an order without an answer arrived. If the endpoint does not show the run,
   * it is stopped there first, so that the order has no effect should it arrive later.
   */
  private async settle(run: AgentRun): Promise<void> {
    const { driver, fencingToken, log } = this.opts;
    log.info('start order has no answer', { run: run.key, endpoint: this.id });
    while (!this.isDisposed && this.runs.has(run.key) && run.phase === 'unsettled') {
      const isAnswered = await this.inspect(0);
      if (run.phase !== 'unsettled' || !this.runs.has(run.key)) break;
      if (!isAnswered) {
        await delay(RETRY_MS);
      } else if (run.isStopped) {
        this.drop([run], 'the order never arrived');
      } else {
        const order = { task: run.name, run: run.run, fencingToken };
        run.isStopped = await driver.stop(this.record, order);
      }
    }
    this.poke();
  }

  /** Stops a run; repeated until the endpoint has accepted it or the run has gone. */
  stop(run: AgentRun): void {
    if (run.isStopping) return;
    run.isStopping = true;
    this.repeatStop(run).catch((err: Error) => {
      this.opts.log.error('stop order failed', { run: run.key, err: err.message });
    });
  }

  /** Takes up a new life or new properties of the endpoint. */
  update(record: EndpointRecord): void {
    const isReborn = record.bornMs !== this.record.bornMs || record.address !== this.record.address;
    this.record = record;
    if (isReborn) this.beginLife();
    this.poke();
  }

  /** Everything on the endpoint has ended with it. */
  markGone(reason: string): void {
    this.isDisposed = true;
    this.wake?.();
    this.opts.driver.forget(this.record);
    this.drop([...this.runs.values()], reason);
  }

  /** Looks at the endpoint now instead of after its next event. */
  poke(): void {
    this.wake?.();
  }

  [Symbol.dispose](): void {
    this.isDisposed = true;
    this.wake?.();
  }

  private beginLife(): void {
    this.clock.reset();
    this.ackedReport = 0;
    this.hasUnackedReports = false;
    this.isSynced = false;
    this.isSuspect = false;
  }

  private async loop(): Promise<void> {
    while (!this.isDisposed) {
      if (!this.needsInspection()) {
        await this.sleep(undefined);
        continue;
      }
      const isAnswered = await this.inspect(this.chooseWait()).catch((err: Error) => {
        this.opts.log.warn('inspection failed', { endpoint: this.id, err: err.message });
        return false;
      });
      if (this.isDisposed) return;
      if (!isAnswered) await this.sleep(RETRY_MS);
    }
  }

  private needsInspection(): boolean {
    const { isSynced, isSuspect, isLeaving, hasUnackedReports } = this;
    return !isSynced || isSuspect || isLeaving || hasUnackedReports || this.runs.size > 0;
  }

  /** Resolves with whether the endpoint has answered for this life. */
  private async inspect(waitMs: number): Promise<boolean> {
    const { driver, fencingToken, leaseMs, isValid } = this.opts;
    if (!isValid()) return false;
    const sentMs = performance.now();
    const { record } = this;
    // An endpoint that does not answer may still hear: its lease must be let run out.
    const mayRenew = this.clock.isKnown && !this.isSuspect;
    const result = await driver.inspect(record, {
      fencingToken,
      ackedReport: this.ackedReport,
      untilMs: mayRenew ? this.clock.grant(leaseMs, sentMs) : undefined,
      waitMs,
    });
    if (this.isDisposed) return false;
    if ('failure' in result) {
      this.handleFailure(result.failure);
      return false;
    }
    const { answer } = result;
    const isOtherLife = answer.bornMs > 0 && record.bornMs > 0 && answer.bornMs !== record.bornMs;
    if (this.record !== record || isOtherLife) {
      // The heartbeat of the new life tells what it is; until then nothing is concluded.
      if (isOtherLife && answer.bornMs > this.record.bornMs) this.isSuspect = true;
      return false;
    }
    this.lastAnswerMs = performance.now();
    this.clock.observe({ clockMs: answer.clockMs, sentMs, receivedMs: this.lastAnswerMs });
    // Reports are acknowledged in order, so that none is before its end is durable.
    const earlier = this.takingUp;
    this.takingUp = earlier.catch(() => undefined).then(() => this.takeUp(answer, sentMs));
    await this.takingUp;
    return true;
  }

  private chooseWait(): number {
    if (!this.isSynced || this.runs.size === 0) return 0;
    const isShort = [...this.runs.values()].some(({ estimateMs }) => estimateMs <= SHORT_TASK_MS);
    return isShort || this.isWatched ? SHORT_WAIT_MS : MAX_WAIT_MS;
  }

  private async takeUp(answer: Inspection, sentMs: number): Promise<void> {
    const { listener } = this.opts;
    const wasAvailable = this.isSynced && !this.isSuspect;
    this.isSuspect = false;
    const ends: { run: AgentRun; report: EndReport }[] = [];
    let lastReport = this.ackedReport;
    for (const report of answer.ended) {
      lastReport = Math.max(lastReport, report.number);
      const run = this.runs.get(`${report.task}:${report.run}`);
      if (run && report.number > this.ackedReport) ends.push({ run, report });
    }
    for (const active of answer.active) {
      const run = this.runs.get(`${active.task}:${active.run}`);
      if (!run) listener.onUnknownRun(this, active);
      else this.confirm(run, active);
    }
    const isWhole = answer.ended.length < MAX_REPORTS;
    if (ends.length > 0) {
      for (const { run } of ends) this.runs.delete(run.key);
      await listener.onEnds(this, ends);
      if (this.isDisposed) return;
    }
    if (isWhole) this.findAbsent(answer.active, sentMs);
    this.hasUnackedReports = lastReport > this.ackedReport;
    this.ackedReport = lastReport;
    this.isSynced = true;
    listener.onInspected(this, answer.active);
    if (!wasAvailable) listener.onAvailabilityChange(this);
  }

  private confirm(run: AgentRun, active: ActiveRun): void {
    if (active.checkpoint !== '') run.checkpoint = active.checkpoint;
    if (run.phase !== 'unsettled') return;
    run.phase = 'running';
    run.confirmedMs = performance.now();
  }

  /** Finds runs that an inspection sent at `sentMs` should have shown. */
  private findAbsent(active: ActiveRun[], sentMs: number): void {
    const shown = new Set(active.map(({ task, run }) => `${task}:${run}`));
    const lost: AgentRun[] = [];
    for (const run of this.runs.values()) {
      if (shown.has(run.key)) continue;
      if (run.phase === 'running' && run.confirmedMs < sentMs) lost.push(run);
    }
    if (lost.length > 0) this.drop(lost, 'not on the endpoint');
  }

  private handleFailure(failure: OrderFailure): void {
    const { listener, log } = this.opts;
    if (failure === 'fenced') {
      listener.onFenced();
      return;
    }
    if (!this.isSuspect) {
      this.isSuspect = true;
      log.warn('endpoint does not answer', { endpoint: this.id, failure, runs: this.runs.size });
      listener.onAvailabilityChange(this);
    }
    if (this.isLeaving && failure === 'unreachable') {
      listener.onLeft(this);
      return;
    }
    if (this.runs.size > 0 && this.haveLeasesEnded()) {
      this.drop([...this.runs.values()], 'the lease ran out');
    }
  }

  private haveLeasesEnded(): boolean {
    const nowMs = performance.now();
    const { maxLeaseMs, sessionStartMs } = this.opts;
    const isPredecessorOver = nowMs - sessionStartMs > maxLeaseMs * PREDECESSOR_MARGIN;
    return isPredecessorOver && (!this.clock.isKnown || this.clock.hasExpired(nowMs));
  }

  private drop(runs: AgentRun[], reason: string): void {
    const known = runs.filter(({ key }) => this.runs.delete(key));
    if (known.length > 0) this.opts.listener.onLost(this, known, reason);
  }

  private async repeatStop(run: AgentRun): Promise<void> {
    const { driver, fencingToken, isValid } = this.opts;
    while (!this.isDisposed && this.runs.has(run.key)) {
      const order = { task: run.name, run: run.run, fencingToken };
      // Without a majority nothing is ordered; the leadership may go on a moment later.
      if (isValid() && (await driver.stop(this.record, order))) {
        run.isStopped = true;
        this.poke();
        return;
      }
      await delay(STOP_RETRY_MS);
    }
  }

  /** Sleeps until woken, at most for `ms`. */
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
