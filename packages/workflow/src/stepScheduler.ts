import type { Resources } from '@lagoongap/model/resources.js';

import type { AdviceBroker } from './adviceBroker.js';
import { TicketProvider } from './ticketProvider.js';
import { CandidateLists } from './candidateLists.js';
import { BlockedSteps, type PlacementConditions } from './blockedSteps.js';
import type { CellConfig, QueuePolicy } from './cellConfig.js';
import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { stepName, taskName, type TaskRef } from './jobSpec.js';
import type { PlacementMode, Quarantine } from './quarantine.js';
import { PlacementRoom } from './placementRoom.js';
import type { ReadyStep, ReadySteps } from './readySteps.js';
import type { RoomHolds } from './roomHolds.js';
import { createReservation, type RunLedger } from './runLedger.js';
import { explainWait } from './explainWait.js';
import type { SessionContext } from './sessionContext.js';
import type { DurationForecast } from './durationForecast.js';
import {
  chooseGangEndpoints,
  EndpointSelector,
  type PlacementCandidate,
  type PlacementPreference,
  type PlacementUsage,
} from './stepPlacer.js';
import { RejectionBackoff } from './rejectionBackoff.js';
import { ResumableWalk } from './resumableWalk.js';
import { splitRestarts } from './splitRestarts.js';
import { listUsableEndpoints, type UsableEndpoint } from './usableEndpoints.js';
import { StepOrdering } from './stepOrdering.js';
import type { StartedRun } from './workflowCommand.js';

/** A planned start of a run. */
export interface PlannedStart extends StartedRun {
  key: string;
  stepName: string;
  ticket?: string;
  /** Agent of the endpoint at the time of the decision. */
  agent: EndpointAgent;
  /** Incarnation of the endpoint at the time of the decision. */
  bornMs: number;
  /** Monotonic time of the decision. */
  decidedMs: number;
}

/** Result of a scheduling cycle. */
export interface CycleResult {
  planned: PlannedStart[];
  /** False if another cycle should follow soon to evaluate the remaining waiting steps. */
  isComplete: boolean;
}

/** Options of a {@link StepScheduler}. */
export interface StepSchedulerOptions {
  context: SessionContext;
  ready: ReadySteps;
  ledger: RunLedger;
  holds: RoomHolds;
  directory: EndpointDirectory;
  durations: DurationForecast;
  broker: AdviceBroker;
  /** Returns the monotonic time since which a task of a service has had no run. */
  readOutageSinceMs: (task: TaskRef) => number;
  quarantine: Quarantine;
  /** Called on a response from the advisor, as another cycle may place more tasks. */
  onAdvice: () => void;
}

/** Outcome of the latest evaluation of a step in a scheduling cycle. */
interface Evaluation {
  /** Monotonic time. */
  atMs: number;
  outcome: 'blocked' | 'unplaced' | 'placed';
}

/** Part of a cycle that restarts of service tasks may take, so that other work is not kept waiting. */
const RESTARTS_TURN_SHARE = 0.5;

/** Places waiting tasks on endpoints, and requests the tickets that this needs. */
export class StepScheduler {
  private readonly opts: StepSchedulerOptions;
  private readonly ticketProvider: TicketProvider;
  private readonly room: PlacementRoom;
  private readonly blocked: BlockedSteps;
  private readonly ordering: StepOrdering;
  private readonly restartsWalk = new ResumableWalk();
  private readonly waitingWalk = new ResumableWalk();
  private readonly candidates: CandidateLists;
  private readonly failures = new Map<string, Map<string, number>>();
  private readonly rejections = new RejectionBackoff();
  /** Planned starts that are not committed yet, by step and task index. */
  private readonly pending = new Map<string, Set<number>>();
  /** Latest evaluation of each waiting step. */
  private readonly evaluations = new Map<string, Evaluation>();

  constructor(opts: StepSchedulerOptions) {
    this.opts = opts;
    this.candidates = new CandidateLists(opts);
    const { context, ledger, broker, ready, quarantine, holds, durations, onAdvice } = opts;
    this.ticketProvider = new TicketProvider({
      context,
      ledger,
      broker,
      ready,
      holds,
      readDurationMs: context.features.has('learned-durations') ? durations.reader : undefined,
      listCandidates: (queue) => this.candidates.listRecent(queue),
      canPlace: (step, id) =>
        !this.rejections.isDelayed(step, id, performance.now()) && quarantine.isOpen(id),
      onAdvice,
    });
    const countFailures = (step: string, endpoint: string): number =>
      this.failures.get(step)?.get(endpoint) ?? 0;
    this.room = new PlacementRoom({ ledger, quarantine, holds, countFailures });
    this.blocked = new BlockedSteps(ledger);
    this.ordering = new StepOrdering(opts);
  }

  /** Returns the indexes of the tasks whose start is planned but not committed yet. */
  pendingOf(step: string): ReadonlySet<number> | undefined {
    return this.pending.get(step);
  }

  /** Returns the latest ticket for a planned start, or undefined if it has expired. */
  findTicket({ stepName: step, endpoint }: PlannedStart): string | undefined {
    return this.ticketProvider.ticketsOf(step).findUnexpired(endpoint, performance.now());
  }

  /** Returns whether the advisor has answered that an endpoint may not run a step. */
  isUnsuitable(step: string, endpoint: string): boolean {
    return this.ticketProvider.suitabilityOf(step, endpoint) === 'unsuitable';
  }

  /** Marks a planned start as no longer pending, once its commit has succeeded or failed. */
  clearPending({ stepName: step, task }: PlannedStart): void {
    const indexes = this.pending.get(step);
    indexes?.delete(task.index);
    if (indexes?.size === 0) this.pending.delete(step);
  }

  /** Records a failed run of a step on an endpoint, so that other endpoints are preferred. */
  recordFailure(step: string, endpoint: string): void {
    const counts = this.failures.get(step) ?? new Map<string, number>();
    counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
    this.failures.set(step, counts);
  }

  /** Records that an endpoint rejected start orders, so that it does not get the next ones at once. */
  recordRejection(endpoint: string, runs: { task: TaskRef }[], reason: string): void {
    const steps = runs.map(({ task }) => stepName(task.jobId, task.occurrence, task.step));
    for (const step of new Set(steps)) this.rejections.record(step, endpoint, reason);
  }

  /** Discards the tickets and failure counts of a step that has ended. */
  forgetStep(step: string): void {
    this.rejections.forgetStep(step);
    this.ticketProvider.forgetStep(step);
    this.opts.holds.release(step);
    this.failures.delete(step);
    this.evaluations.delete(step);
  }

  /** Deletes the tickets of an endpoint that has restarted or rejected one. */
  dropTickets(endpoint: string): void {
    this.ticketProvider.dropTickets(endpoint);
  }

  /** Makes the next cycle re-evaluate all steps, after endpoints or the configuration changed. */
  recheckBlocked(): void {
    this.blocked.clear();
    this.candidates.clear();
  }

  /** Runs a scheduling cycle: decides which tasks start now and reserves capacity for them. */
  decide(config: CellConfig): CycleResult {
    const queues = new Map(config.queues.map((queue) => [queue.name, queue]));
    const planned: PlannedStart[] = [];
    const startMs = performance.now();
    this.candidates.dropOutdated();
    this.expireHolds(startMs);
    const { turnMs } = this.opts.context.timing;
    const place = (ready: ReadyStep): void => {
      const queue = queues.get(ready.job.queue);
      if (queue) planned.push(...this.placeUnlessBlocked(ready, queue, config));
    };
    const { context, ready, readOutageSinceMs } = this.opts;
    const { restarts, others } = splitRestarts(ready.list(), {
      state: context.state,
      readOutageSinceMs,
    });
    // A long cycle would block leadership renewal, which shares the event loop.
    const restartsEndMs = startMs + turnMs * RESTARTS_TURN_SHARE;
    const hasPlacedRestarts = this.restartsWalk.visit(restarts, place, restartsEndMs);
    const waiting = this.ordering.order(others, config, queues);
    const hasPlacedOthers = this.waitingWalk.visit(waiting, place, startMs + turnMs);
    return { planned, isComplete: hasPlacedRestarts && hasPlacedOthers };
  }

  /**
   * Returns the endpoints that could start tasks of a step now if they had room for them, with the
   * number of further tasks that the step permits on each.
   *
   * @param leadMs - Time for which tickets have to remain valid.
   */
  listUsable(ready: ReadyStep, queue: QueuePolicy, leadMs: number): UsableEndpoint[] {
    const { ledger, quarantine } = this.opts;
    const tickets = queue.advice ? this.ticketProvider.ticketsOf(ready.name) : undefined;
    const conditions = { tickets, leadMs, rejections: this.rejections, quarantine, ledger };
    return listUsableEndpoints(ready, this.candidates.list(queue).values(), conditions);
  }

  /** Requests tickets for a step before it can start. */
  prefetch(step: ReadyStep, queue: QueuePolicy): void {
    this.ticketProvider.query(step, queue, true);
  }

  /** Returns log fields that explain why the tasks of a step wait. */
  explain(ready: ReadyStep, config: CellConfig): Record<string, unknown> {
    const queue = config.queues.find(({ name }) => name === ready.job.queue);
    if (!queue) return { reason: 'the queue is no longer configured' };
    const { directory } = this.opts;
    const candidates = [...this.candidates.list(queue).values()];
    const usage = this.createUsage(ready, config);
    const held = this.opts.holds.listOf(ready.name, performance.now()).length;
    const tickets = this.ticketProvider.ticketsOf(ready.name);
    const evaluation = this.evaluations.get(ready.name);
    return {
      ...explainWait({ ready, queue, candidates, usage, tickets, directory, room: this.room }),
      held,
      suspects: this.opts.quarantine.listSuspects(ready).size,
      evaluatedAgoMs: evaluation && Math.round(performance.now() - evaluation.atMs),
      outcome: evaluation?.outcome,
      ...this.ticketProvider.explain(ready.name),
    };
  }

  private placeUnlessBlocked(
    ready: ReadyStep,
    queue: QueuePolicy,
    config: CellConfig,
  ): PlannedStart[] {
    const { priority } = queue;
    const limit = this.findLimit(ready, config);
    const candidates = this.candidates.list(queue);
    const conditions: PlacementConditions = {
      step: ready,
      tickets: queue.advice ? this.ticketProvider.ticketsOf(ready.name) : undefined,
      isWithinLimit: this.room.isWithinLimit({ step: ready, priority, limit }),
      hasCapacity: (id) => {
        const candidate = candidates.get(id);
        return candidate !== undefined && this.room.hasCapacity(candidate, ready, priority);
      },
    };
    const atMs = performance.now();
    if (this.blocked.isBlocked(conditions, atMs)) {
      this.evaluations.set(ready.name, { atMs, outcome: 'blocked' });
      return [];
    }
    const planned = this.placeStep(ready, queue, config);
    const outcome = planned.length > 0 ? 'placed' : 'unplaced';
    this.evaluations.set(ready.name, { atMs, outcome });
    this.blocked.recordBlocked(conditions, ready.waiting.length - planned.length);
    return planned;
  }

  private placeStep(ready: ReadyStep, queue: QueuePolicy, config: CellConfig): PlannedStart[] {
    const candidates = this.candidates.list(queue);
    const nowMs = performance.now();
    const tickets = queue.advice ? this.ticketProvider.ticketsOf(ready.name) : undefined;
    const usable: PlacementCandidate[] = [];
    for (const id of tickets?.listValid(nowMs) ?? candidates.keys()) {
      const candidate = candidates.get(id);
      if (!candidate || this.rejections.isDelayed(ready.name, id, nowMs)) continue;
      if (!tickets || this.room.countSlots(ready, candidate, queue.priority) > 0)
        usable.push(candidate);
    }
    const planned = ready.spec.isGang
      ? this.placeGang(ready, usable, config)
      : this.placeTasks(ready, usable, config, this.ordering.preferenceOf(ready, queue));
    if (tickets) {
      for (const start of planned) {
        start.ticket = this.ticketProvider.useTicket(ready.name, start.endpoint, nowMs);
      }
    }
    if (planned.length < ready.waiting.length) this.ticketProvider.query(ready, queue);
    return planned;
  }

  private placeTasks(
    ready: ReadyStep,
    candidates: PlacementCandidate[],
    config: CellConfig,
    preference?: PlacementPreference,
  ): PlannedStart[] {
    const planned: PlannedStart[] = [];
    const { farFactor } = this.opts.context.timing;
    const usage = this.createUsage(ready, config);
    const selector = new EndpointSelector(ready.spec, candidates, usage, farFactor, preference);
    const suspects = this.opts.quarantine.listSuspects(ready);
    for (const index of ready.waiting) {
      if (suspects.has(index)) continue;
      const endpoint = selector.choose();
      if (!endpoint) break;
      planned.push(this.plan(ready, index, endpoint, this.nextRun(ready, index)));
      selector.refresh(endpoint);
    }
    if (suspects.size === 0) return planned;
    return [...planned, ...this.placeSuspects(ready, suspects, candidates, config)];
  }

  /** Places the tasks that may crash their endpoints, in quarantine if possible. */
  private placeSuspects(
    ready: ReadyStep,
    suspects: ReadonlySet<number>,
    candidates: PlacementCandidate[],
    config: CellConfig,
  ): PlannedStart[] {
    const { quarantine, context } = this.opts;
    const planned: PlannedStart[] = [];
    const usages = {
      trial: this.createUsage(ready, config, 'trial'),
      open: this.createUsage(ready, config),
    };
    const full = new Set<PlacementMode>();
    for (const index of suspects) {
      for (const mode of quarantine.listModes(ready, index)) {
        if (full.has(mode)) continue;
        const { farFactor } = context.timing;
        const selector = new EndpointSelector(ready.spec, candidates, usages[mode], farFactor);
        const endpoint = selector.choose();
        if (endpoint) {
          planned.push(this.plan(ready, index, endpoint, this.nextRun(ready, index), mode));
          break;
        }
        full.add(mode);
      }
    }
    return planned;
  }

  private placeGang(
    ready: ReadyStep,
    candidates: PlacementCandidate[],
    config: CellConfig,
  ): PlannedStart[] {
    const { ledger, context, quarantine } = this.opts;
    const suspects = quarantine.listSuspects(ready);
    const mode = suspects.size > 0 ? quarantine.listGangModes(ready, suspects).at(-1) : 'open';
    if (!mode) return [];
    const usage = this.createUsage(ready, config, mode);
    const trials: { key: string; endpoint: PlacementCandidate }[] = [];
    const release = (): void => {
      for (const { key, endpoint } of trials.splice(0)) {
        ledger.withdraw(key);
        if (endpoint.cold) this.opts.directory.find(endpoint.id)?.warmup.withdrawStart(key);
      }
    };
    const endpoints = chooseGangEndpoints(ready.spec, candidates, usage, context.timing.farFactor, {
      reserve: (endpoint) => {
        const key = `${ready.name}:trial:${trials.length}`;
        trials.push({ key, endpoint });
        this.reserve(ready, key, endpoint);
      },
      release,
    });
    release();
    if (!endpoints) return [];
    const run = Math.max(...ready.waiting.map((index) => this.nextRun(ready, index)));
    return endpoints.map((endpoint, index) => this.plan(ready, index, endpoint, run, mode));
  }

  private plan(
    ready: ReadyStep,
    index: number,
    endpoint: PlacementCandidate,
    run: number,
    mode: PlacementMode = 'open',
  ): PlannedStart {
    const { job, occurrence, step, name } = ready;
    const task: TaskRef = { jobId: job.id, occurrence, step, index };
    const key = `${taskName(task)}:${run}`;
    this.reserve(ready, key, endpoint);
    this.useHold(name, endpoint.id);
    const pending = this.pending.get(name) ?? new Set<number>();
    this.pending.set(name, pending.add(index));
    const isTrial = mode === 'trial';
    this.opts.quarantine.recordStart(ready, index, { key, endpoint: endpoint.id, isTrial });
    const agent = this.opts.directory.require(endpoint.id);
    const { bornMs } = agent.record;
    const target = { endpoint: endpoint.id, agent, bornMs };
    return { key, stepName: name, task, run, ...target, decidedMs: performance.now() };
  }

  private reserve(ready: ReadyStep, key: string, endpoint: PlacementCandidate): void {
    const task = { jobId: ready.job.id, occurrence: ready.occurrence, step: ready.step, index: 0 };
    this.opts.ledger.reserve(createReservation(ready.job, task, key, endpoint.id));
    endpoint.cold?.recordStart(key);
  }

  private nextRun({ job, occurrence, step }: ReadyStep, index: number): number {
    const record = this.opts.context.state.findStep(job, occurrence, step)?.tasks[index];
    return (record?.lastRun ?? 0) + 1;
  }

  private findLimit({ job }: ReadyStep, config: CellConfig): Resources | undefined {
    return config.organisations.find(({ name }) => name === job.organisation)?.limit;
  }

  private createUsage(
    ready: ReadyStep,
    config: CellConfig,
    mode: PlacementMode = 'open',
  ): PlacementUsage {
    const queue = config.queues.find(({ name }) => name === ready.job.queue);
    const priority = queue?.priority ?? Infinity;
    const limit = this.findLimit(ready, config);
    return this.room.createUsage({ step: ready, priority, limit, mode });
  }

  private expireHolds(nowMs: number): void {
    const expired = this.opts.holds.removeExpired(nowMs);
    if (expired.length > 0) this.opts.context.meter.countExpiredHolds(expired.length);
  }

  private useHold(step: string, endpoint: string): void {
    const stoppedMs = this.opts.holds.use(step, endpoint)?.stoppedMs;
    if (stoppedMs === undefined) return;
    this.opts.context.meter.observeFreedRoomUse(performance.now() - stoppedMs);
  }
}
