import type { AdviceBroker } from './adviceBroker.js';
import type { CellConfig, QueuePolicy } from './cellConfig.js';
import type { EndpointAgent } from './endpointAgent.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { taskName, type TaskRef } from './jobSpec.js';
import { MovingAverage } from './movingAverage.js';
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
import { TicketBook } from './ticketBook.js';
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
  /** False if the time of a turn was up before all waiting steps were looked at. */
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

/** Longest time of a turn; a fraction of the leader's validity. */
const MAX_TURN_MS = 20;

/** Tickets that expire sooner are renewed ahead of use. */
const RENEWAL_MARGIN_MS = 600;

/** Most endpoints named in one question. */
const MAX_NAMED = 100;

/** Share of suitable endpoints assumed before any answer. */
const INITIAL_SUITABLE_SHARE = 0.5;

/** Places asked for per waiting task, so that a full endpoint can be passed over. */
const PLACES_PER_TASK = 2;

/** Fewest endpoints named in a question, as the fixed part of its cost is large. */
const MIN_NAMED = 8;

/** Decides which waiting tasks start where, and keeps the advice that this needs. */
export class StepScheduler {
  private readonly opts: StepSchedulerOptions;
  private readonly books = new Map<string, TicketBook>();
  private readonly asking = new Set<string>();
  /** Endpoints that may take work in this turn, by pool. */
  private readonly candidates = new Map<string, Map<string, PlacementCandidate>>();
  private readonly troubles = new Map<string, Map<string, number>>();
  private readonly suitableShares = new Map<string, MovingAverage>();
  /** Starts that are decided but not recorded, by step and task index. */
  private readonly pending = new Set<string>();

  constructor(opts: StepSchedulerOptions) {
    this.opts = opts;
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
    this.books.delete(step);
    this.troubles.delete(step);
  }

  /** Forgets the tickets of an endpoint that began a new life or rejected one. */
  dropTickets(endpoint: string): void {
    for (const book of this.books.values()) book.drop(endpoint);
  }

  /** Decides what starts now and reserves room for it. */
  decide(config: CellConfig): TurnResult {
    const queues = new Map(config.queues.map((queue) => [queue.name, queue]));
    const planned: PlannedStart[] = [];
    const startMs = performance.now();
    this.candidates.clear();
    for (const ready of this.opts.ready.list((name) => queues.get(name))) {
      const queue = queues.get(ready.job.queue);
      if (!queue) continue;
      // Leadership is renewed between turns, so that none may take long.
      if (performance.now() - startMs > MAX_TURN_MS) return { planned, isComplete: false };
      planned.push(...this.placeStep(ready, queue, config));
    }
    return { planned, isComplete: true };
  }

  /** Asks for advice on a step before it can start. */
  prepare(step: ReadyStep, queue: QueuePolicy): void {
    if (!queue.advice) return;
    this.candidates.clear();
    this.ask(step, queue, this.listCandidates(queue));
  }

  /** Tells what keeps the tasks of a step waiting, for the log. */
  explain(ready: ReadyStep, config: CellConfig): Record<string, unknown> {
    const queue = config.queues.find(({ name }) => name === ready.job.queue);
    if (!queue) return { reason: 'its queue is not configured any more' };
    const candidates = [...this.listCandidates(queue).values()];
    const room = this.createRoom(ready, config);
    const nowMs = performance.now();
    const book = this.books.get(ready.name);
    const count = (test: (candidate: PlacementCandidate) => boolean): number =>
      candidates.filter(test).length;
    return {
      endpoints: candidates.length,
      withRoom: count((candidate) => this.countSlots(ready.spec, candidate) > 0),
      withinLimit: count((candidate) => room.fits(candidate, ready.spec)),
      withTicket: count(({ id }) => book?.find(id, nowMs) !== undefined),
      suitable: count(({ id }) => book?.judge(id) === 'suitable'),
      unsuitable: count(({ id }) => book?.judge(id) === 'unsuitable'),
      isAsking: this.asking.has(ready.name),
      questions: this.opts.broker.backlog,
    };
  }

  private placeStep(ready: ReadyStep, queue: QueuePolicy, config: CellConfig): PlannedStart[] {
    const candidates = this.listCandidates(queue);
    const nowMs = performance.now();
    const book = queue.advice ? this.bookOf(ready.name) : undefined;
    const usable = book
      ? book.listValid(nowMs).flatMap((id) => candidates.get(id) ?? [])
      : [...candidates.values()];
    const room = this.createRoom(ready, config);
    const planned = ready.spec.isGang
      ? this.placeGang(ready, usable, room)
      : this.placeTasks(ready, usable, room);
    for (const start of planned) start.ticket = book?.find(start.endpoint, nowMs);
    if (queue.advice && planned.length < ready.waiting.length) this.ask(ready, queue, candidates);
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
        for (const key of trials.splice(0)) ledger.release(key);
      },
    });
    for (const key of trials) ledger.release(key);
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

  private createRoom(ready: ReadyStep, config: CellConfig): PlacementRoom {
    const { ledger } = this.opts;
    const { organisation } = ready.job;
    const limit = config.organisations.find(({ name }) => name === organisation)?.limit;
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

  /** Asks for tickets of the endpoints that are most likely to be used next. */
  private ask(
    ready: ReadyStep,
    queue: QueuePolicy,
    candidates: Map<string, PlacementCandidate>,
  ): void {
    const { advice } = queue;
    if (!advice || this.asking.has(ready.name) || !this.bookOf(ready.name).mayAsk()) return;
    const named = this.chooseNamed(ready, queue, candidates);
    if (named.length === 0) return;
    this.asking.add(ready.name);
    const startMs = performance.now();
    this.opts.broker
      .ask(ready.name, named, advice, queue.priority)
      .then((answer) => {
        this.asking.delete(ready.name);
        this.opts.context.meter.countAdvice(answer !== undefined, performance.now() - startMs);
        if (!answer) return;
        const share = this.shareOf(queue.name);
        const book = this.bookOf(ready.name);
        for (const id of named) {
          if (book.judge(id) === 'unknown') {
            share.add(answer.good.some(({ endpoint }) => endpoint === id) ? 1 : 0);
          }
        }
        book.record(answer);
        this.opts.onAdvice();
      })
      .catch((err: Error) => {
        this.asking.delete(ready.name);
        this.opts.context.logger.warn('advice failed', { step: ready.name, err: err.message });
      });
  }

  private chooseNamed(
    ready: ReadyStep,
    queue: QueuePolicy,
    candidates: Map<string, PlacementCandidate>,
  ): string[] {
    const { ledger } = this.opts;
    const { spec } = ready;
    const book = this.bookOf(ready.name);
    const nowMs = performance.now();
    const share = this.shareOf(queue.name).value;
    const scored = [...candidates.values()]
      .filter(({ id, labels }) => {
        if (spec.requiredLabel !== '' && !labels.includes(spec.requiredLabel)) return false;
        return book.judge(id) !== 'unsuitable' && !book.isFresh(id, nowMs, RENEWAL_MARGIN_MS);
      })
      .map((candidate) => {
        const { id, capacity } = candidate;
        const isSuitable = book.judge(id) === 'suitable';
        return {
          id,
          capacity,
          chance: isSuitable ? 1 : share,
          slots: this.countSlots(spec, candidate),
        };
      })
      .sort((a, b) => b.slots * b.chance - a.slots * a.chance);
    const wanted = ready.waiting.length * PLACES_PER_TASK;
    const named: string[] = [];
    let expected = 0;
    for (const { id, chance, slots } of scored) {
      if (named.length >= MAX_NAMED || (expected >= wanted && named.length >= MIN_NAMED)) break;
      named.push(id);
      expected += chance * slots;
    }
    // Tickets for places without any room would expire unused.
    const hasRoom = scored.some(({ slots }) => slots > 0);
    return hasRoom || ledger.usedBy(ready.job.organisation).cpuMillis === 0 ? named : [];
  }

  private countSlots(spec: ReadyStep['spec'], { id, capacity }: PlacementCandidate): number {
    const used = this.opts.ledger.usedOn(id);
    const { size } = spec;
    const fit = (free: number, need: number): number =>
      need > 0 ? Math.max(0, Math.floor(free / need)) : Number.MAX_SAFE_INTEGER;
    const slots = Math.min(
      spec.fillsIdleCapacity
        ? Number.MAX_SAFE_INTEGER
        : fit(capacity.cpuMillis - used.cpuMillis, size.cpuMillis),
      fit(capacity.memoryMib - used.memoryMib, size.memoryMib),
      fit(capacity.accelerators - used.accelerators, size.accelerators),
    );
    const bound = spec.maxPerEndpoint > 0 ? spec.maxPerEndpoint : spec.taskCount;
    return Math.min(slots, bound);
  }

  private bookOf(step: string): TicketBook {
    let book = this.books.get(step);
    if (!book) {
      book = new TicketBook();
      this.books.set(step, book);
    }
    return book;
  }

  private shareOf(queue: string): MovingAverage {
    let share = this.suitableShares.get(queue);
    if (!share) {
      share = new MovingAverage(INITIAL_SUITABLE_SHARE);
      this.suitableShares.set(queue, share);
    }
    return share;
  }
}
