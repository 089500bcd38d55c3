import type { Resources } from '@lagoongap/model/resources.js';

import type { AdviceBroker } from './adviceBroker.js';
import { countSlots, TicketProvider, type FleetCandidate } from './ticketProvider.js';
import { BlockedSteps, type PlacementConditions } from './blockedSteps.js';
import type { CellConfig, QueuePolicy } from './cellConfig.js';
import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { stepName, taskName, type TaskRef } from './jobSpec.js';
import type { PlacementMode, Quarantine } from './quarantine.js';
import type { ReadyStep, ReadySteps } from './readySteps.js';
import { createReservation, type RunLedger } from './runLedger.js';
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

/** Load that a run of a suspected task counts for another one, so that they are kept apart. */
const SUSPECT_LOAD = 20;

/** Maximum age of the list of available endpoints. */
const CANDIDATES_MAX_AGE_MS = 20;

/** Part of a cycle that restarts of service tasks may take, so that other work is not kept waiting. */
const RESTARTS_TURN_SHARE = 0.5;

/** Places waiting tasks on endpoints, and requests the tickets that this needs. */
export class StepScheduler {
  private readonly opts: StepSchedulerOptions;
  private readonly ticketProvider: TicketProvider;
  private readonly blocked: BlockedSteps;
  private readonly ordering: StepOrdering;
  private readonly restartsWalk = new ResumableWalk();
  private readonly waitingWalk = new ResumableWalk();
  /** Available endpoints, by pool. */
  private readonly candidates = new Map<string, Map<string, FleetCandidate>>();
  private candidatesListedMs = -Infinity;
  private candidatesVersion = 0;
  private readonly failures = new Map<string, Map<string, number>>();
  private readonly rejections = new RejectionBackoff();
  /** Planned starts that are not committed yet, by step and task index. */
  private readonly pending = new Map<string, Set<number>>();
  /** Latest evaluation of each waiting step. */
  private readonly evaluations = new Map<string, Evaluation>();

  constructor(opts: StepSchedulerOptions) {
    this.opts = opts;
    const { context, ledger, broker, onAdvice } = opts;
    this.ticketProvider = new TicketProvider({ context, ledger, broker, onAdvice });
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
    this.dropOutdatedCandidates();
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

  /** Requests tickets for a step before it can start. */
  prefetch(step: ReadyStep, queue: QueuePolicy): void {
    if (!queue.advice) return;
    this.dropOutdatedCandidates();
    this.ticketProvider.query(step, queue, this.listCandidates(queue));
  }

  /** Returns log fields that explain why the tasks of a step wait. */
  explain(ready: ReadyStep, config: CellConfig): Record<string, unknown> {
    const queue = config.queues.find(({ name }) => name === ready.job.queue);
    if (!queue) return { reason: 'the queue is no longer configured' };
    const candidates = [...this.listCandidates(queue).values()];
    const usage = this.createUsage(ready, config);
    const nowMs = performance.now();
    const tickets = this.ticketProvider.ticketsOf(ready.name);
    const evaluation = this.evaluations.get(ready.name);
    const { maxPerEndpoint } = ready.spec;
    const count = (test: (candidate: FleetCandidate) => boolean): number =>
      candidates.filter(test).length;
    return {
      endpoints: candidates.length,
      ejected: this.opts.directory.listEjected().filter(({ record }) => record.pool === queue.pool)
        .length,
      withRoom: count((candidate) => countSlots(ready, candidate, this.opts.ledger) > 0),
      withinLimit: count((candidate) => usage.fits(candidate, ready.spec)),
      atStepLimit: count((it) => maxPerEndpoint > 0 && usage.countOn(it) >= maxPerEndpoint),
      withTicket: count(({ id }) => tickets.find(id, nowMs) !== undefined),
      suitable: count(({ id }) => tickets.suitabilityOf(id) === 'suitable'),
      unsuitable: count(({ id }) => tickets.suitabilityOf(id) === 'unsuitable'),
      suspects: this.opts.quarantine.listSuspects(ready).size,
      evaluatedAgoMs: evaluation && Math.round(nowMs - evaluation.atMs),
      outcome: evaluation?.outcome,
      ...this.ticketProvider.explain(ready.name),
    };
  }

  private placeUnlessBlocked(
    ready: ReadyStep,
    queue: QueuePolicy,
    config: CellConfig,
  ): PlannedStart[] {
    const { ledger } = this.opts;
    const { spec, job } = ready;
    const limit = this.findLimit(ready, config);
    const candidates = this.listCandidates(queue);
    const conditions: PlacementConditions = {
      step: ready,
      tickets: queue.advice ? this.ticketProvider.ticketsOf(ready.name) : undefined,
      isWithinLimit: !limit || ledger.isWithinLimit(job.organisation, limit, spec.size),
      hasCapacity: (id) => {
        const capacity = candidates.get(id)?.capacity;
        return (
          capacity !== undefined &&
          ledger.hasCapacity(id, capacity, spec.size, spec.fillsIdleCapacity)
        );
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
    const candidates = this.listCandidates(queue);
    const nowMs = performance.now();
    const tickets = queue.advice ? this.ticketProvider.ticketsOf(ready.name) : undefined;
    const usable: PlacementCandidate[] = [];
    for (const id of tickets?.listValid(nowMs) ?? candidates.keys()) {
      const candidate = candidates.get(id);
      if (!candidate || this.rejections.isDelayed(ready.name, id, nowMs)) continue;
      if (!tickets || countSlots(ready, candidate, this.opts.ledger) > 0) usable.push(candidate);
    }
    const planned = ready.spec.isGang
      ? this.placeGang(ready, usable, config)
      : this.placeTasks(ready, usable, config, this.ordering.preferenceOf(ready, queue));
    for (const start of planned) start.ticket = tickets?.find(start.endpoint, nowMs);
    if (planned.length < ready.waiting.length) this.ticketProvider.query(ready, queue, candidates);
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
    const trialKeys: string[] = [];
    const endpoints = chooseGangEndpoints(ready.spec, candidates, usage, context.timing.farFactor, {
      reserve: (endpoint) => {
        const key = `${ready.name}:trial:${trialKeys.length}`;
        trialKeys.push(key);
        this.reserve(ready, key, endpoint.id);
      },
      release: () => {
        for (const key of trialKeys.splice(0)) ledger.withdraw(key);
      },
    });
    for (const key of trialKeys) ledger.withdraw(key);
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
    this.reserve(ready, key, endpoint.id);
    const pending = this.pending.get(name) ?? new Set<number>();
    this.pending.set(name, pending.add(index));
    const isTrial = mode === 'trial';
    this.opts.quarantine.recordStart(ready, index, { key, endpoint: endpoint.id, isTrial });
    const agent = this.opts.directory.require(endpoint.id);
    const { bornMs } = agent.record;
    const target = { endpoint: endpoint.id, agent, bornMs };
    return { key, stepName: name, task, run, ...target, decidedMs: performance.now() };
  }

  private reserve(ready: ReadyStep, key: string, endpoint: string): void {
    const task = { jobId: ready.job.id, occurrence: ready.occurrence, step: ready.step, index: 0 };
    this.opts.ledger.reserve(createReservation(ready.job, task, key, endpoint));
  }

  private nextRun({ job, occurrence, step }: ReadyStep, index: number): number {
    const record = this.opts.context.state.findStep(job, occurrence, step)?.tasks[index];
    return (record?.lastRun ?? 0) + 1;
  }

  /** Returns the available endpoints of a queue's pool; constant during a cycle. */
  private listCandidates({ pool }: QueuePolicy): Map<string, FleetCandidate> {
    const { directory, durations, ledger } = this.opts;
    const known = this.candidates.get(pool);
    if (known) return known;
    const candidates = new Map<string, FleetCandidate>();
    for (const { id, record, hasLatencyTarget } of directory.listAvailable(pool)) {
      const { kind, rack, labels, capacity } = record;
      const durationFactor = durations.durationFactor(id, kind);
      candidates.set(id, {
        id,
        kind,
        rack,
        labels,
        capacity,
        durationFactor,
        isLatencySensitive: hasLatencyTarget,
        usage: ledger.usageOf(id),
      });
    }
    this.candidates.set(pool, candidates);
    return candidates;
  }

  private dropOutdatedCandidates(): void {
    const { version } = this.opts.directory;
    const nowMs = performance.now();
    const isRecent = nowMs - this.candidatesListedMs <= CANDIDATES_MAX_AGE_MS;
    if (isRecent && version === this.candidatesVersion && this.candidates.size > 0) return;
    this.candidates.clear();
    this.candidatesListedMs = nowMs;
    this.candidatesVersion = version;
  }

  private findLimit({ job }: ReadyStep, config: CellConfig): Resources | undefined {
    return config.organisations.find(({ name }) => name === job.organisation)?.limit;
  }

  private createUsage(
    ready: ReadyStep,
    config: CellConfig,
    mode: PlacementMode = 'open',
  ): PlacementUsage {
    const { ledger, quarantine } = this.opts;
    const isTrial = mode === 'trial';
    const { organisation } = ready.job;
    const limit = this.findLimit(ready, config);
    const hasCrashed = quarantine.hasCrashed(ready);
    return {
      fits: (candidate, { size, fillsIdleCapacity }) =>
        ledger.hasCapacity(candidate.id, candidate.capacity, size, fillsIdleCapacity) &&
        (!limit || ledger.isWithinLimit(organisation, limit, size)) &&
        (isTrial ? quarantine.isIsolated(candidate.id, ready) : quarantine.isOpen(candidate.id)),
      failuresOn: ({ id }) => this.failures.get(ready.name)?.get(id) ?? 0,
      countOn: ({ id }) => ledger.countRuns(ready.name, id),
      loadOf: ({ id, capacity }) => {
        const bestEffortCpuMillis = ready.spec.fillsIdleCapacity ? ledger.bestEffortCpuOn(id) : 0;
        const usedCpuMillis = ledger.usedOn(id).cpuMillis + bestEffortCpuMillis;
        const suspects = hasCrashed ? quarantine.countSuspects(id) * SUSPECT_LOAD : 0;
        const trialCost = isTrial || hasCrashed ? quarantine.costOfTrial(id) : 0;
        return usedCpuMillis / Math.max(1, capacity.cpuMillis) + suspects + trialCost;
      },
    };
  }
}
