import type { AdviceBroker } from './adviceBroker.js';
import type { QueuePolicy } from './cellConfig.js';
import { MovingAverage } from './movingAverage.js';
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

/** Placement candidate with its usage, which is updated in place. */
export interface FleetCandidate extends PlacementCandidate {
  usage: EndpointUsage;
}

/** Returns how many times `need` fits into `free`. */
function countFits(free: number, need: number): number {
  if (need <= 0) return Number.MAX_SAFE_INTEGER;
  return free < need ? 0 : Math.floor(free / need);
}

/** Returns how many more tasks of a step fit on an endpoint. */
export function countSlots(
  { taskCount, maxPerEndpoint, size, fillsIdleCapacity }: ReadyStep['spec'],
  { capacity, usage: { used } }: FleetCandidate,
): number {
  let slots = maxPerEndpoint > 0 ? maxPerEndpoint : taskCount;
  if (!fillsIdleCapacity) {
    slots = Math.min(slots, countFits(capacity.cpuMillis - used.cpuMillis, size.cpuMillis));
  }
  slots = Math.min(slots, countFits(capacity.memoryMib - used.memoryMib, size.memoryMib));
  return Math.min(slots, countFits(capacity.accelerators - used.accelerators, size.accelerators));
}

/** Queries the advisor for endpoints that may run a step, and caches the tickets it returns. */
export class TicketProvider {
  private readonly opts: TicketProviderOptions;
  private readonly caches = new Map<string, TicketCache>();
  private readonly pendingSteps = new Set<string>();
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

  /** Returns whether a query for a step is in flight. */
  isQueryPending(step: string): boolean {
    return this.pendingSteps.has(step);
  }

  /** Number of queries that are not assigned to an instance yet. */
  get backlog(): number {
    return this.opts.broker.backlog;
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
    if (!cache.tryBeginSearch()) return;
    const endpoints = this.chooseEndpoints(ready, queue, candidates);
    if (endpoints.length === 0) {
      cache.backOff();
      return;
    }
    this.pendingSteps.add(ready.name);
    cache.beginQuery();
    const { broker, context, onAdvice } = this.opts;
    const startMs = performance.now();
    broker
      .query(ready.name, endpoints, advice, queue.priority)
      .then((response) => {
        this.pendingSteps.delete(ready.name);
        cache.endQuery();
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
        this.pendingSteps.delete(ready.name);
        cache.endQuery();
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
    const free: { id: string; expected: number }[] = [];
    const full: FleetCandidate[] = [];
    for (const candidate of candidates.values()) {
      const slots = countSlots(spec, candidate);
      if (slots === 0) {
        full.push(candidate);
      } else if (isUseful(candidate)) {
        const isSuitable = cache.suitabilityOf(candidate.id) === 'suitable';
        free.push({ id: candidate.id, expected: slots * (isSuitable ? 1 : share) });
      }
    }
    // Without any free capacity the tickets would expire unused.
    if (free.length === 0 && ledger.usedBy(ready.job.organisation).cpuMillis > 0) return [];
    free.sort((a, b) => b.expected - a.expected);
    const wanted = ready.waiting.length * SLOTS_PER_TASK;
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

  private suitableShareOf(queue: string): MovingAverage {
    let share = this.suitableShares.get(queue);
    if (!share) {
      share = new MovingAverage(INITIAL_SUITABLE_SHARE);
      this.suitableShares.set(queue, share);
    }
    return share;
  }
}
