import type { Resources } from '@lagoongap/model/resources.js';

import type { AdviceBroker } from './adviceBroker.js';
import { AdviceSeeker, countSlots } from './adviceSeeker.js';
import { BlockedSteps, type PlacementChance } from './blockedSteps.js';
import type { CellConfig, QueuePolicy } from './cellConfig.js';
import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { taskName, type TaskRef } from './jobSpec.js';
import type { ReadyStep, ReadySteps } from './readySteps.js';
import { createReservation, type RunLedger } from './runLedger.js';
import type { SessionContext } from './sessionContext.js';
import type { SpeedLearner } from './speedLearner.js';
import {
  chooseGangPlaces,
  choosePlace,
  type PlacementCandidate,
  type PlacementRoom,
} from './stepPlacer.js';
import { orderSteps } from './stepOrder.js';
import type { StartedRun } from './workflowCommand.js';

/** A start that was decided. */
export interface PlannedStart extends StartedRun {
  key: string;
  stepName: string;
  ticket?: string;
  /** Identity of the order under which the ticket was given. */
  agent: EndpointAgent;
}

/** Result of a scheduling turn. */
export interface TurnResult {
  planned: PlannedStart[];
  /** False if another turn should follow soon, to look at the rest of the waiting steps. */
  isComplete: boolean;
}

/** Options of a {@link StepScheduler}. */
export interface StepSchedulerOptions {
  context: SessionContext;
  ready: ReadySteps;
  ledger: RunLedger;
  directory: EndpointDirectory;
  speeds: SpeedLearner;
  broker: AdviceBroker;
  /** Called when advice has come, so that another turn may place more. */
  onAdvice: () => void;
}

/** Time for which the list of endpoints is kept while questions are prepared. */
const CANDIDATES_AGE_MS = 20;

/** Decides which waiting tasks start where, and keeps the advice that this needs. */
export class StepScheduler {
  private readonly opts: StepSchedulerOptions;
  private readonly seeker: AdviceSeeker;
  private readonly blocked: BlockedSteps;
  /** Place in the order of waiting steps at which the next turn goes on. */
  private resumeAt = 0;
  /** Endpoints that may take work in this turn, by pool. */
  private readonly candidates = new Map<string, Map<string, PlacementCandidate>>();
  private candidatesMs = -Infinity;
  private readonly troubles = new Map<string, Map<string, number>>();
  /** Starts that are decided but not recorded, by step and task index. */
  private readonly pending = new Set<string>();

  constructor(opts: StepSchedulerOptions) {
    this.opts = opts;
    const { context, ledger, broker, onAdvice } = opts;
    this.seeker = new AdviceSeeker({ context, ledger, broker, onAdvice });
    this.blocked = new BlockedSteps(ledger);
  }

  /** Tells whether a start of the task is decided but not recorded yet. */
  isPending(step: string, index: number): boolean {
    return this.pending.has(`${step}.${index}`);
  }

  /** Ends the wait for the record of a start. */
  settle({ stepName, task }: PlannedStart): void {
    this.pending.delete(`${stepName}.${task.index}`);
  }

  /** Notes that a run of a step went wrong on an endpoint, which others are preferred to then. */
  noteTrouble(step: string, endpoint: string): void {
    const counts = this.troubles.get(step) ?? new Map<string, number>();
    counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
    this.troubles.set(step, counts);
  }

  /** Forgets what was learnt about a step that has ended. */
  forget(step: string): void {
    this.seeker.forget(step);
    this.troubles.delete(step);
  }

  /** Forgets the tickets of an endpoint that began a new life or rejected one. */
  dropTickets(endpoint: string): void {
    this.seeker.dropTickets(endpoint);
  }

  /** Looks at every waiting step in the next turn, as endpoints or the configuration changed. */
  lookAgain(): void {
    this.blocked.clear();
  }

  /** Decides what starts now and reserves room for it. */
  decide(config: CellConfig): TurnResult {
    const queues = new Map(config.queues.map((queue) => [queue.name, queue]));
    const planned: PlannedStart[] = [];
    const startMs = performance.now();
    this.forgetCandidates();
    const { turnMs } = this.opts.context.timing;
    const weights = new Map(config.organisations.map(({ name, weight }) => [name, weight]));
    const waiting = orderSteps(this.opts.ready.list(), {
      findQueue: (name) => queues.get(name),
      readUse: (name) => this.opts.ledger.usedBy(name).cpuMillis / (weights.get(name) || 1),
      wallMs: Date.now(),
    });
    const first = this.resumeAt < waiting.length ? this.resumeAt : 0;
    for (let i = first; i < waiting.length; i += 1) {
      const ready = waiting[i]!;
      const queue = queues.get(ready.job.queue);
      if (queue) planned.push(...this.placeUnlessBlocked(ready, queue, config));
      // Leadership is renewed between turns, so that none may take long.
      if (performance.now() - startMs > turnMs && i + 1 < waiting.length) {
        this.resumeAt = i + 1;
        return { planned, isComplete: false };
      }
    }
    this.resumeAt = 0;
    // What came up meanwhile may stand before the place where this turn began.
    return { planned, isComplete: first === 0 };
  }

  /** Asks for advice on a step before it can start. */
  prepare(step: ReadyStep, queue: QueuePolicy): void {
    if (!queue.advice) return;
    if (performance.now() - this.candidatesMs > CANDIDATES_AGE_MS) this.forgetCandidates();
    this.seeker.ask(step, queue, this.listCandidates(queue));
  }

  /** Tells what keeps the tasks of a step waiting, for the log. */
  explain(ready: ReadyStep, config: CellConfig): Record<string, unknown> {
    const queue = config.queues.find(({ name }) => name === ready.job.queue);
    if (!queue) return { reason: 'its queue is not configured any more' };
    const candidates = [...this.listCandidates(queue).values()];
    const room = this.createRoom(ready, config);
    const nowMs = performance.now();
    const book = this.seeker.bookOf(ready.name);
    const count = (test: (candidate: PlacementCandidate) => boolean): number =>
      candidates.filter(test).length;
    return {
      endpoints: candidates.length,
      withRoom: count((candidate) => countSlots(ready.spec, candidate, this.opts.ledger) > 0),
      withinLimit: count((candidate) => room.fits(candidate, ready.spec)),
      withTicket: count(({ id }) => book.find(id, nowMs) !== undefined),
      suitable: count(({ id }) => book.judge(id) === 'suitable'),
      unsuitable: count(({ id }) => book.judge(id) === 'unsuitable'),
      isAsking: this.seeker.isAsking(ready.name),
      questions: this.seeker.backlog,
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
    const chance: PlacementChance = {
      step: ready,
      book: queue.advice ? this.seeker.bookOf(ready.name) : undefined,
      isWithinLimit: !limit || ledger.isWithinLimit(job.organisation, limit, spec.size),
      hasRoom: (id) => {
        const capacity = candidates.get(id)?.capacity;
        return (
          capacity !== undefined && ledger.hasRoom(id, capacity, spec.size, spec.fillsIdleCapacity)
        );
      },
    };
    if (this.blocked.isBlocked(chance, performance.now())) return [];
    const planned = this.placeStep(ready, queue, config);
    this.blocked.note(chance, ready.waiting.length - planned.length);
    return planned;
  }

  private placeStep(ready: ReadyStep, queue: QueuePolicy, config: CellConfig): PlannedStart[] {
    const candidates = this.listCandidates(queue);
    const nowMs = performance.now();
    const book = queue.advice ? this.seeker.bookOf(ready.name) : undefined;
    const usable = book
      ? book.listValid(nowMs).flatMap((id) => candidates.get(id) ?? [])
      : [...candidates.values()];
    const room = this.createRoom(ready, config);
    const planned = ready.spec.isGang
      ? this.placeGang(ready, usable, room)
      : this.placeTasks(ready, usable, room);
    for (const start of planned) start.ticket = book?.find(start.endpoint, nowMs);
    if (planned.length < ready.waiting.length) this.seeker.ask(ready, queue, candidates);
    return planned;
  }

  private placeTasks(
    ready: ReadyStep,
    candidates: PlacementCandidate[],
    room: PlacementRoom,
  ): PlannedStart[] {
    const planned: PlannedStart[] = [];
    const { farFactor } = this.opts.context.timing;
    for (const index of ready.waiting) {
      const place = choosePlace(ready.spec, candidates, room, farFactor);
      if (!place) break;
      planned.push(this.plan(ready, index, place, this.nextRun(ready, index)));
    }
    return planned;
  }

  private placeGang(
    ready: ReadyStep,
    candidates: PlacementCandidate[],
    room: PlacementRoom,
  ): PlannedStart[] {
    const { ledger, context } = this.opts;
    const trials: string[] = [];
    const places = chooseGangPlaces(ready.spec, candidates, room, context.timing.farFactor, {
      reserve: (place) => {
        const key = `${ready.name}:trial:${trials.length}`;
        trials.push(key);
        this.reserve(ready, key, place.id);
      },
      release: () => {
        for (const key of trials.splice(0)) ledger.withdraw(key);
      },
    });
    for (const key of trials) ledger.withdraw(key);
    if (!places) return [];
    const run = Math.max(...ready.waiting.map((index) => this.nextRun(ready, index)));
    return places.map((place, index) => this.plan(ready, index, place, run));
  }

  private plan(
    ready: ReadyStep,
    index: number,
    place: PlacementCandidate,
    run: number,
  ): PlannedStart {
    const { job, occurrence, step, name } = ready;
    const task: TaskRef = { jobId: job.id, occurrence, step, index };
    const key = `${taskName(task)}:${run}`;
    this.reserve(ready, key, place.id);
    this.pending.add(`${name}.${index}`);
    const agent = this.opts.directory.require(place.id);
    return { key, stepName: name, task, run, endpoint: place.id, agent };
  }

  private reserve(ready: ReadyStep, key: string, endpoint: string): void {
    const task = { jobId: ready.job.id, occurrence: ready.occurrence, step: ready.step, index: 0 };
    this.opts.ledger.reserve(createReservation(ready.job, task, key, endpoint));
  }

  private nextRun({ job, occurrence, step }: ReadyStep, index: number): number {
    const record = this.opts.context.state.findStep(job, occurrence, step)?.tasks[index];
    return (record?.lastRun ?? 0) + 1;
  }

  /** Endpoints of a queue's pool that may take work, the same ones for a whole turn. */
  private listCandidates({ pool }: QueuePolicy): Map<string, PlacementCandidate> {
    const { directory, speeds } = this.opts;
    const known = this.candidates.get(pool);
    if (known) return known;
    const candidates = new Map<string, PlacementCandidate>();
    for (const { id, record, isWatched } of directory.listAvailable(pool)) {
      const { kind, rack, labels, capacity } = record;
      const durationFactor = speeds.factor(id, kind);
      candidates.set(id, {
        id,
        kind,
        rack,
        labels,
        capacity,
        durationFactor,
        isServing: isWatched,
      });
    }
    this.candidates.set(pool, candidates);
    return candidates;
  }

  private forgetCandidates(): void {
    this.candidates.clear();
    this.candidatesMs = performance.now();
  }

  private findLimit({ job }: ReadyStep, config: CellConfig): Resources | undefined {
    return config.organisations.find(({ name }) => name === job.organisation)?.limit;
  }

  private createRoom(ready: ReadyStep, config: CellConfig): PlacementRoom {
    const { ledger } = this.opts;
    const { organisation } = ready.job;
    const limit = this.findLimit(ready, config);
    return {
      fits: (candidate, { size, fillsIdleCapacity }) =>
        ledger.hasRoom(candidate.id, candidate.capacity, size, fillsIdleCapacity) &&
        (!limit || ledger.isWithinLimit(organisation, limit, size)),
      troubleOn: ({ id }) => this.troubles.get(ready.name)?.get(id) ?? 0,
      countOn: ({ id }) => ledger.countOf(ready.name, id),
      loadOf: ({ id, capacity }) => {
        const filling = ready.spec.fillsIdleCapacity ? ledger.fillingOn(id) : 0;
        return (ledger.usedOn(id).cpuMillis + filling) / Math.max(1, capacity.cpuMillis);
      },
    };
  }
}
