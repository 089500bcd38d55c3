import type { AdviceBroker } from './adviceBroker.js';
import type { QueuePolicy } from './cellConfig.js';
import { MovingAverage } from './movingAverage.js';
import type { ReadyStep } from './readySteps.js';
import type { RunLedger } from './runLedger.js';
import type { SessionContext } from './sessionContext.js';
import type { PlacementCandidate } from './stepPlacer.js';
import { TicketBook } from './ticketBook.js';

/** Options of an {@link AdviceSeeker}. */
export interface AdviceSeekerOptions {
  context: SessionContext;
  ledger: RunLedger;
  broker: AdviceBroker;
  /** Called when advice has come, so that another turn may place more. */
  onAdvice: () => void;
}

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

/** Returns how many more tasks of a step an endpoint could take. */
export function countSlots(
  { taskCount, maxPerEndpoint, size, fillsIdleCapacity }: ReadyStep['spec'],
  { id, capacity }: PlacementCandidate,
  ledger: RunLedger,
): number {
  const used = ledger.usedOn(id);
  const fit = (free: number, need: number): number =>
    need > 0 ? Math.max(0, Math.floor(free / need)) : Number.MAX_SAFE_INTEGER;
  return Math.min(
    fillsIdleCapacity
      ? Number.MAX_SAFE_INTEGER
      : fit(capacity.cpuMillis - used.cpuMillis, size.cpuMillis),
    fit(capacity.memoryMib - used.memoryMib, size.memoryMib),
    fit(capacity.accelerators - used.accelerators, size.accelerators),
    maxPerEndpoint > 0 ? maxPerEndpoint : taskCount,
  );
}

/** Asks the advisor where steps may run, and keeps what it said. */
export class AdviceSeeker {
  private readonly opts: AdviceSeekerOptions;
  private readonly books = new Map<string, TicketBook>();
  private readonly asking = new Set<string>();
  private readonly suitableShares = new Map<string, MovingAverage>();

  constructor(opts: AdviceSeekerOptions) {
    this.opts = opts;
  }

  /** Returns what is known about where a step may run. */
  bookOf(step: string): TicketBook {
    let book = this.books.get(step);
    if (!book) {
      book = new TicketBook();
      this.books.set(step, book);
    }
    return book;
  }

  /** Tells whether a question about a step is under way. */
  isAsking(step: string): boolean {
    return this.asking.has(step);
  }

  /** Number of questions that no instance has taken yet. */
  get backlog(): number {
    return this.opts.broker.backlog;
  }

  /** Forgets what was learnt about a step that has ended. */
  forget(step: string): void {
    this.books.delete(step);
  }

  /** Forgets the tickets of an endpoint that began a new life or rejected one. */
  dropTickets(endpoint: string): void {
    for (const book of this.books.values()) book.drop(endpoint);
  }

  /** Asks for tickets of the endpoints that are most likely to be used next. */
  ask(
    ready: ReadyStep,
    queue: QueuePolicy,
    candidates: ReadonlyMap<string, PlacementCandidate>,
  ): void {
    const { advice } = queue;
    if (!advice || this.asking.has(ready.name)) return;
    const book = this.bookOf(ready.name);
    if (!book.mayAsk()) return;
    const named = this.chooseNamed(ready, queue, candidates);
    if (named.length === 0) {
      book.noteNothingToAsk();
      return;
    }
    this.asking.add(ready.name);
    const { broker, context, onAdvice } = this.opts;
    const startMs = performance.now();
    broker
      .ask(ready.name, named, advice, queue.priority)
      .then((answer) => {
        this.asking.delete(ready.name);
        context.meter.countAdvice(answer !== undefined, performance.now() - startMs);
        if (!answer) return;
        const share = this.shareOf(queue.name);
        const good = new Set(answer.good.map(({ endpoint }) => endpoint));
        for (const id of named) {
          if (book.judge(id) === 'unknown') share.add(good.has(id) ? 1 : 0);
        }
        book.record(answer);
        onAdvice();
      })
      .catch((err: Error) => {
        this.asking.delete(ready.name);
        context.logger.warn('advice failed', { step: ready.name, err: err.message });
      });
  }

  private chooseNamed(
    ready: ReadyStep,
    queue: QueuePolicy,
    candidates: ReadonlyMap<string, PlacementCandidate>,
  ): string[] {
    const { ledger } = this.opts;
    const { spec } = ready;
    const book = this.bookOf(ready.name);
    const nowMs = performance.now();
    const share = this.shareOf(queue.name).value;
    const scored: { id: string; expected: number }[] = [];
    let hasRoom = false;
    for (const candidate of candidates.values()) {
      const { id, labels } = candidate;
      if (spec.requiredLabel !== '' && !labels.includes(spec.requiredLabel)) continue;
      const judgement = book.judge(id);
      if (judgement === 'unsuitable' || book.isFresh(id, nowMs, RENEWAL_MARGIN_MS)) continue;
      const slots = countSlots(spec, candidate, ledger);
      if (slots > 0) hasRoom = true;
      scored.push({ id, expected: slots * (judgement === 'suitable' ? 1 : share) });
    }
    // Tickets for places without any room would expire unused.
    if (!hasRoom && ledger.usedBy(ready.job.organisation).cpuMillis > 0) return [];
    scored.sort((a, b) => b.expected - a.expected);
    const wanted = ready.waiting.length * PLACES_PER_TASK;
    const named: string[] = [];
    let expectedSlots = 0;
    for (const { id, expected } of scored) {
      const isEnough = expectedSlots >= wanted && named.length >= MIN_NAMED;
      if (named.length >= MAX_NAMED || isEnough) break;
      named.push(id);
      expectedSlots += expected;
    }
    return named;
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
