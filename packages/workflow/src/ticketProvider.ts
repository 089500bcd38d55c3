import type { AdviceBroker } from './adviceBroker.js';
import type { QueuePolicy } from './cellConfig.js';
import { MovingAverage } from './movingAverage.js';
import { countAdmitted } from './organisationLimits.js';
import type { ReadyStep } from './readySteps.js';
import type { EndpointUsage, RunLedger } from './runLedger.js';
import type { SessionContext } from './sessionContext.js';
import type { PlacementCandidate } from './stepPlacer.js';
import { TicketCache } from './ticketCache.js';

/** Options of a {@link TicketProvider}. */
export interface TicketProviderOptions {
  context: SessionContext;
  ledger: RunLedger;
  broker: AdviceBroker;
  /** Called on a response from the advisor, as another scheduling cycle may place more tasks. */
  onAdvice: () => void;
}

/** Remaining validity below which a ticket is renewed ahead of use. */
const RENEWAL_MARGIN_MS = 600;

const MAX_ENDPOINTS_PER_QUERY = 100;

/** Share of suitable endpoints assumed before the first response. */
const INITIAL_SUITABLE_SHARE = 0.5;

/** Expected slots requested per waiting task, so that endpoints that fill up can be skipped. */
const SLOTS_PER_TASK = 2;

/** Minimum that spreads the large fixed cost of a query over several endpoints. */
const MIN_ENDPOINTS_PER_QUERY = 8;

/** Priority of queries for restarts of service tasks; lower than that of any queue. */
const RESTART_PRIORITY = Number.MIN_SAFE_INTEGER;

/** Placement candidate with its usage, which is updated in place. */
export interface FleetCandidate extends PlacementCandidate {
  usage: EndpointUsage;
}

/** Returns how many times `need` fits into `free`, which is negative after capacity has shrunk. */
function countFits(free: number, need: number): number {
  if (free < Math.max(0, need)) return 0;
  return need > 0 ? Math.floor(free / need) : Number.MAX_SAFE_INTEGER;
}

/** Returns how many more tasks of a step an endpoint can run, given its capacity and the limit. */
export function countSlots(
  { name, spec: { taskCount, maxPerEndpoint, size, fillsIdleCapacity } }: ReadyStep,
  { id, capacity, usage: { used } }: FleetCandidate,
  ledger: RunLedger,
): number {
  let slots = maxPerEndpoint > 0 ? maxPerEndpoint : taskCount;
  const cpuMillis = fillsIdleCapacity ? 0 : size.cpuMillis;
  slots = Math.min(slots, countFits(capacity.cpuMillis - used.cpuMillis, cpuMillis));
  slots = Math.min(slots, countFits(capacity.memoryMib - used.memoryMib, size.memoryMib));
  slots = Math.min(slots, countFits(capacity.accelerators - used.accelerators, size.accelerators));
  if (slots === 0 || maxPerEndpoint === 0) return slots;
  return Math.min(slots, Math.max(0, maxPerEndpoint - ledger.countRuns(name, id)));
}

/** Queries the advisor for endpoints that may run a step, and caches the tickets it returns. */
export class TicketProvider {
  private readonly opts: TicketProviderOptions;
  private readonly caches = new Map<string, TicketCache>();
  /** Monotonic time of the query in flight, by step. */
  private readonly pendingSteps = new Map<string, number>();
  /** Number of queries in flight by endpoint. */
  private readonly inFlight = new Map<string, number>();
  private readonly suitableShares = new Map<string, MovingAverage>();

  constructor(opts: TicketProviderOptions) {
    this.opts = opts;
  }

  /** Returns the ticket cache of a step. */
  ticketsOf(step: string): TicketCache {
    let cache = this.caches.get(step);
    if (!cache) {
      cache = new TicketCache();
      this.caches.set(step, cache);
    }
    return cache;
  }

  /** Returns the cached suitability of an endpoint for a step. */
  suitabilityOf(step: string, endpoint: string): 'suitable' | 'unsuitable' | 'unknown' {
    return this.caches.get(step)?.suitabilityOf(endpoint) ?? 'unknown';
  }

  /** Returns log fields about the query for a step and the queries before it. */
  explain(step: string): Record<string, unknown> {
    const { broker } = this.opts;
    const sinceMs = this.pendingSteps.get(step);
    return {
      isAsking: sinceMs !== undefined,
      queryAgeMs: sinceMs !== undefined ? Math.round(performance.now() - sinceMs) : undefined,
      isQueryAssigned: sinceMs !== undefined ? broker.isAssigned(step) : undefined,
      questions: broker.backlog,
      oldestQuestionMs: Math.round(broker.oldestAgeMs),
    };
  }

  /** Deletes the cached tickets of a step that has ended. */
  forgetStep(step: string): void {
    this.caches.delete(step);
  }

  /** Deletes the tickets of an endpoint that has restarted or rejected one. */
  dropTickets(endpoint: string): void {
    for (const cache of this.caches.values()) cache.drop(endpoint);
  }

  /** Queries the advisor about the endpoints that are most likely to be used next. */
  query(
    ready: ReadyStep,
    queue: QueuePolicy,
    candidates: ReadonlyMap<string, FleetCandidate>,
  ): void {
    const { advice } = queue;
    if (!advice || this.pendingSteps.has(ready.name)) return;
    const cache = this.ticketsOf(ready.name);
    if (this.countWanted(ready) === 0) {
      cache.suspendSearch();
      return;
    }
    if (!cache.tryBeginSearch()) return;
    const endpoints = this.chooseEndpoints(ready, queue, candidates);
    if (endpoints.length === 0) {
      cache.backOff();
      return;
    }
    const { broker, context, onAdvice } = this.opts;
    const startMs = performance.now();
    this.pendingSteps.set(ready.name, startMs);
    cache.beginQuery();
    this.countInFlight(endpoints, 1);
    broker
      .query(ready.name, endpoints, advice, ready.isRestart ? RESTART_PRIORITY : queue.priority)
      .finally(() => {
        this.pendingSteps.delete(ready.name);
        cache.endQuery();
        this.countInFlight(endpoints, -1);
      })
      .then((response) => {
        context.meter.countAdvice(response !== undefined, performance.now() - startMs);
        if (!response) return;
        const share = this.suitableShareOf(queue.name);
        const good = new Set(response.good.map(({ endpoint }) => endpoint));
        for (const id of endpoints) {
          if (cache.suitabilityOf(id) === 'unknown') share.add(good.has(id) ? 1 : 0);
        }
        cache.record(response);
        onAdvice();
      })
      .catch((err: Error) => {
        context.logger.warn('advisor query failed', { step: ready.name, err: err.message });
      });
  }

  private chooseEndpoints(
    ready: ReadyStep,
    queue: QueuePolicy,
    candidates: ReadonlyMap<string, FleetCandidate>,
  ): string[] {
    const { ledger } = this.opts;
    const { spec } = ready;
    const cache = this.ticketsOf(ready.name);
    const nowMs = performance.now();
    const share = this.suitableShareOf(queue.name).value;
    const isUseful = ({ id, labels }: FleetCandidate): boolean =>
      (spec.requiredLabel === '' || labels.includes(spec.requiredLabel)) &&
      cache.suitabilityOf(id) !== 'unsuitable' &&
      !cache.isFresh(id, nowMs, RENEWAL_MARGIN_MS);
    const free: { id: string; expected: number; preference: number }[] = [];
    const full: FleetCandidate[] = [];
    for (const candidate of candidates.values()) {
      const slots = countSlots(ready, candidate, ledger);
      if (slots === 0) {
        full.push(candidate);
      } else if (isUseful(candidate)) {
        const { id } = candidate;
        const expected = slots * (cache.suitabilityOf(id) === 'suitable' ? 1 : share);
        // Other steps may get tickets for the same slots, so that queries should spread.
        const preference = expected / (1 + (this.inFlight.get(id) ?? 0));
        free.push({ id, expected, preference });
      }
    }
    // Without any free capacity the tickets would expire unused.
    if (free.length === 0 && ledger.usedBy(ready.job.organisation).cpuMillis > 0) return [];
    free.sort((a, b) => b.preference - a.preference);
    const wanted = this.countWanted(ready) * SLOTS_PER_TASK;
    const endpoints: string[] = [];
    let expectedSlots = 0;
    const limit = (): number =>
      expectedSlots >= wanted ? MIN_ENDPOINTS_PER_QUERY : MAX_ENDPOINTS_PER_QUERY;
    for (const { id, expected } of free) {
      if (endpoints.length >= limit()) return endpoints;
      endpoints.push(id);
      expectedSlots += expected;
    }
    for (const candidate of full) {
      if (endpoints.length >= limit()) break;
      if (isUseful(candidate)) endpoints.push(candidate.id);
    }
    return endpoints;
  }

  /** Returns how many of the waiting tasks the limit of the organisation still admits. */
  private countWanted(ready: ReadyStep): number {
    const { context, ledger } = this.opts;
    const { length } = ready.waiting;
    if (!context.features.has('advice-scheduling')) return length;
    return Math.min(length, countAdmitted(ready, context.readConfig(), ledger));
  }

  private countInFlight(endpoints: string[], change: 1 | -1): void {
    for (const id of endpoints) {
      const count = (this.inFlight.get(id) ?? 0) + change;
      if (count > 0) this.inFlight.set(id, count);
      else this.inFlight.delete(id);
    }
  }

  private suitableShareOf(queue: string): MovingAverage {
    let share = this.suitableShares.get(queue);
    if (!share) {
      share = new MovingAverage(INITIAL_SUITABLE_SHARE);
      this.suitableShares.set(queue, share);
    }
    return share;
  }
}
