import { countSlots, type FleetCandidate } from './endpointSlots.js';
import type { PlanInput, QueryPlanner } from './queryPlanner.js';
import type { RunLedger } from './runLedger.js';
import { SuitableShares } from './suitableShares.js';
import type { AdviceResponse } from './ticketCache.js';
import type { QueuePolicy } from './cellConfig.js';

/** Remaining validity below which a ticket is renewed ahead of use. */
const RENEWAL_MARGIN_MS = 600;

const MAX_ENDPOINTS_PER_QUERY = 100;

/** Expected slots requested per waiting task, so that endpoints that fill up can be skipped. */
const SLOTS_PER_TASK = 2;

/** Minimum that spreads the large fixed cost of a query over several endpoints. */
const MIN_ENDPOINTS_PER_QUERY = 8;

/** Chooses the endpoints of a query when it is queued; in use without `advice-scheduling`. */
export class EarlyQueryPlanner implements QueryPlanner {
  readonly isLate = false;
  private readonly ledger: RunLedger;
  private readonly shares = new SuitableShares();
  /** Number of queries in flight by endpoint. */
  private readonly inFlight = new Map<string, number>();
  /** Endpoints of the query in flight, by step. */
  private readonly planned = new Map<string, string[]>();

  constructor(ledger: RunLedger) {
    this.ledger = ledger;
  }

  isAtLimit(): boolean {
    return false;
  }

  expectedCallMs({ advice }: QueuePolicy): number {
    return advice!.decideMs + advice!.perEndpointMs * MIN_ENDPOINTS_PER_QUERY;
  }

  plan(input: PlanInput): string[] | 'no-room' {
    const endpoints = this.chooseEndpoints(input);
    if (endpoints.length === 0) return 'no-room';
    this.planned.set(input.step.name, endpoints);
    this.countInFlight(endpoints, 1);
    return endpoints;
  }

  settle({ step, queue, cache }: Omit<PlanInput, 'priority'>, response?: AdviceResponse): void {
    const endpoints = this.planned.get(step.name) ?? [];
    this.planned.delete(step.name);
    this.countInFlight(endpoints, -1);
    if (!response) return;
    const good = new Set(response.good.map(({ endpoint }) => endpoint));
    const share = this.shares.of(queue.name);
    for (const id of endpoints) {
      if (cache.suitabilityOf(id) === 'unknown') share.add(good.has(id) ? 1 : 0);
    }
  }

  forgetStep(): void {}

  private chooseEndpoints({ step, queue, candidates, cache }: PlanInput): string[] {
    const { ledger } = this;
    const { requiredLabel } = step.spec;
    const nowMs = performance.now();
    const share = this.shares.of(queue.name).value;
    const isUseful = ({ id, labels }: FleetCandidate): boolean =>
      (requiredLabel === '' || labels.includes(requiredLabel)) &&
      cache.suitabilityOf(id) !== 'unsuitable' &&
      !cache.isFresh(id, nowMs, RENEWAL_MARGIN_MS);
    const free: { id: string; expected: number; preference: number }[] = [];
    const full: FleetCandidate[] = [];
    for (const candidate of candidates.values()) {
      const slots = countSlots(step, candidate, ledger);
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
    if (free.length === 0 && ledger.usedBy(step.job.organisation).cpuMillis > 0) return [];
    free.sort((a, b) => b.preference - a.preference);
    const wanted = step.waiting.length * SLOTS_PER_TASK;
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

  private countInFlight(endpoints: string[], change: 1 | -1): void {
    for (const id of endpoints) {
      const count = (this.inFlight.get(id) ?? 0) + change;
      if (count > 0) this.inFlight.set(id, count);
      else this.inFlight.delete(id);
    }
  }
}
