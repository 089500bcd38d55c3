import { addResources } from '@lagoongap/model/resources.js';

import type { RoomHolds } from './roomHolds.js';
import type { AdvicePolicy, QueuePolicy } from './cellConfig.js';
import { chooseEndpoints, type EndpointOption } from './endpointChoice.js';
import { countExpectedSlots, countSlots, type FleetCandidate } from './endpointSlots.js';
import { ExpectedUse } from './expectedUse.js';
import { MovingAverage } from './movingAverage.js';
import { countAdmitted } from './organisationLimits.js';
import type { OmissionReason, PlanInput, QueryPlanner } from './queryPlanner.js';
import type { ReadyStep } from './readySteps.js';
import type { RunLedger } from './runLedger.js';
import type { SessionContext } from './sessionContext.js';
import { SuitableShares } from './suitableShares.js';
import type { AdviceResponse, TicketCache } from './ticketCache.js';

/** Options of a {@link LateQueryPlanner}. */
export interface LateQueryPlannerOptions {
  context: Pick<SessionContext, 'readConfig'>;
  ledger: RunLedger;
  /** Returns whether the scheduler may place a task of a step on an endpoint with room now. */
  canPlace: (step: string, endpoint: string) => boolean;
  /** Returns whether most instances have no call, so that call time is not what is short. */
  isAdvisorIdle: () => boolean;
  /** Room that is kept for other steps. */
  holds?: RoomHolds;
}

const MAX_ENDPOINTS_PER_QUERY = 100;

/** Number of endpoints that a query is assumed to name before the first one of its queue. */
const TYPICAL_ENDPOINTS = 20;

/** Expected room below which an endpoint counts as taken, in tasks. */
const MIN_EXPECTED_SLOTS = 0.25;

/** Expected room of an endpoint that is full now, in tasks, while its ticket is valid. */
const FULL_ENDPOINT_SLOTS = 0.1;

/** The same while the advisor is idle; more endpoints are named, and their tickets are renewed. */
const IDLE_FULL_ENDPOINT_SLOTS = 0.15;

/** Remaining validity below which the ticket of a full endpoint is renewed. */
const RENEWAL_MARGIN_MS = 600;

/** Number of endpoints by which the average of the queue counts against what a step has learned. */
const QUEUE_SHARE_WEIGHT = 10;

/** Share of the room found at the query that is still free at the answer, before it is measured. */
const INITIAL_ROOM_LEFT = 0.8;

/** Lower bound of that share, so that a burst does not make every query name all endpoints. */
const MIN_ROOM_LEFT = 0.3;

/**
 * Part of the validity of a ticket up to which a call is short. The limit of an organisation is often
 * reached and left again within that validity, so that a short call is made ahead of it.
 */
const SHORT_CALL_SHARE = 0.03;

/** Tasks by which a gang whose endpoints must be in one rack exceeds its size in a query. */
const RACK_LOCAL_FACTOR = 2;

/**
 * Time after which a step that has valid tickets for free endpoints, and is not placed, queries
 * about others.
 */
const COVERED_TIMEOUT_MS = 500;

interface PlannedQuery {
  /** Slots that were free at the query, by endpoint. */
  slots: Map<string, number>;
}

/** Averages of the queries of one queue. */
interface QueueAverages {
  callMs: MovingAverage;
  roomLeft: MovingAverage;
}

/**
 * Chooses the endpoints of a query when an instance can send it: as many as the waiting tasks need
 * that the limit of the organisation admits, with room that is neither reserved nor expected to be
 * used by queries in flight for steps of the same or a higher priority.
 */
export class LateQueryPlanner implements QueryPlanner {
  readonly isLate = true;
  private readonly opts: LateQueryPlannerOptions;
  private readonly shares = new SuitableShares();
  private readonly averages = new Map<string, QueueAverages>();
  private readonly expected = new ExpectedUse();
  private readonly planned = new Map<string, PlannedQuery>();
  /** Monotonic time since which a step has had tickets for enough free endpoints. */
  private readonly coveredSinceMs = new Map<string, number>();

  constructor(opts: LateQueryPlannerOptions) {
    this.opts = opts;
  }

  isAtLimit(step: ReadyStep, queue: QueuePolicy): boolean {
    if (this.isShortCall(queue)) return false;
    return countAdmitted(step, this.opts.context.readConfig(), this.opts.ledger) === 0;
  }

  expectedCallMs(queue: QueuePolicy): number {
    return this.averagesOf(queue).callMs.value;
  }

  plan(input: PlanInput): string[] | OmissionReason {
    const { step, queue, priority } = input;
    this.expected.delete(step.name);
    this.planned.delete(step.name);
    const admitted = this.countWanted(step, priority);
    if (admitted === 0 && !this.isShortCall(queue)) return 'at-limit';
    const wanted = admitted || step.waiting.length;
    const isAdvisorIdle = this.opts.isAdvisorIdle();
    const { options, covered, hasRoom } = this.listOptions(input, isAdvisorIdle);
    if (admitted === 0 && covered >= wanted) return 'at-limit';
    const missing = this.countMissing(step.name, wanted, covered);
    if (missing <= 0) return 'covered';
    // Without any room most tickets expire unused, so that they must not keep other queries waiting.
    const hasNothing = this.opts.ledger.usedBy(step.job.organisation).cpuMillis === 0;
    if (!hasRoom && !hasNothing && !isAdvisorIdle) return 'no-room';
    const { decideMs: fixedMs, perEndpointMs } = queue.advice!;
    const needed =
      step.spec.isRackLocal && step.spec.isGang ? missing * RACK_LOCAL_FACTOR : missing;
    const cost = { fixedMs, perEndpointMs };
    const chosen = chooseEndpoints(options, needed, cost, MAX_ENDPOINTS_PER_QUERY);
    if (chosen.length === 0) return 'no-room';
    this.averagesOf(queue).callMs.add(fixedMs + perEndpointMs * chosen.length);
    this.recordPlanned(input, chosen, missing);
    return chosen.map(({ id }) => id);
  }

  settle(input: Omit<PlanInput, 'priority'>, response?: AdviceResponse): void {
    const { step, queue, cache } = input;
    this.expected.delete(step.name);
    const planned = this.planned.get(step.name);
    this.planned.delete(step.name);
    if (!response) return;
    const good = new Set(response.good.map(({ endpoint }) => endpoint));
    const unknown = response.asked.filter((id) => cache.suitabilityOf(id) === 'unknown');
    if (unknown.length > 0) {
      const suitable = unknown.filter((id) => good.has(id)).length;
      this.shares.of(queue.name).add(suitable / unknown.length);
    }
    if (planned) this.recordRoomLeft(input, planned, good);
  }

  /** Deletes what is known about a step that has ended. */
  forgetStep(step: string): void {
    this.coveredSinceMs.delete(step);
  }

  private isShortCall(queue: QueuePolicy): boolean {
    return this.expectedCallMs(queue) <= queue.advice!.validMs * SHORT_CALL_SHARE;
  }

  /** Returns how many tasks of a step a query is for; a gang starts as a whole. */
  private countWanted(step: ReadyStep, priority: number): number {
    const { context, ledger } = this.opts;
    const others = this.expected.byOrganisation(step.job.organisation, priority);
    const admitted = countAdmitted(step, context.readConfig(), ledger, others);
    const { length } = step.waiting;
    if (step.spec.isGang && admitted < length) return 0;
    return Math.min(length, admitted);
  }

  private countMissing(step: string, wanted: number, covered: number): number {
    if (covered < wanted) {
      this.coveredSinceMs.delete(step);
      return wanted - covered;
    }
    const nowMs = performance.now();
    const sinceMs = this.coveredSinceMs.get(step) ?? nowMs;
    this.coveredSinceMs.set(step, sinceMs);
    if (nowMs - sinceMs < COVERED_TIMEOUT_MS) return 0;
    this.coveredSinceMs.delete(step);
    return wanted;
  }

  /**
   * Lists the endpoints that a query may name, the best first, and counts the tasks for which valid
   * tickets exist on endpoints with room.
   */
  private listOptions(
    input: PlanInput,
    isAdvisorIdle: boolean,
  ): { options: EndpointOption[]; covered: number; hasRoom: boolean } {
    const { step, queue, candidates, cache } = input;
    const { canPlace } = this.opts;
    const { requiredLabel, isGang } = step.spec;
    const nowMs = performance.now();
    // A gang needs all its tickets at the same time, those of the answer included.
    const marginMs = isGang ? this.expectedCallMs(queue) : 0;
    const unknownShare = this.suitableShareOf(queue, cache);
    const roomLeft = this.roomLeftOf(queue);
    const fullSlots = isAdvisorIdle ? IDLE_FULL_ENDPOINT_SLOTS : FULL_ENDPOINT_SLOTS;
    const free: EndpointOption[] = [];
    const full: EndpointOption[] = [];
    let covered = 0;
    for (const candidate of candidates.values()) {
      const { id, labels } = candidate;
      const suitability = cache.suitabilityOf(id);
      const isExcluded = requiredLabel !== '' && !labels.includes(requiredLabel);
      if (isExcluded || suitability === 'unsuitable') continue;
      const slots = this.countPlaceable(input, candidate);
      const isPlaceable = slots > 0 && canPlace(step.name, id);
      if (isPlaceable && cache.isValid(id, nowMs + marginMs)) {
        covered += slots;
        continue;
      }
      const room = isPlaceable ? this.readExpectedSlots(input, candidate, slots) : 0;
      if (room < MIN_EXPECTED_SLOTS) {
        const isKnown = suitability === 'suitable';
        // Unless the advisor is idle, a ticket is renewed once its endpoint has room.
        const isUseful = isKnown
          ? isAdvisorIdle && !cache.isFresh(id, nowMs, RENEWAL_MARGIN_MS)
          : true;
        const probability = isKnown ? 1 : unknownShare;
        if (isUseful) full.push({ id, slots: fullSlots, probability });
      } else {
        const share = suitability === 'suitable' ? 1 : unknownShare;
        free.push({ id, slots: room, probability: share * roomLeft });
      }
    }
    const byValue = (a: EndpointOption, b: EndpointOption): number =>
      b.slots * b.probability - a.slots * a.probability;
    const options = [...free.sort(byValue), ...full.sort(byValue)];
    return { options, covered, hasRoom: free.length > 0 };
  }

  /** Returns how many tasks of a step have room on an endpoint that is not reserved for others. */
  private countPlaceable({ step, priority }: PlanInput, candidate: FleetCandidate): number {
    const { holds, ledger } = this.opts;
    const slots = countSlots(step, candidate, ledger);
    if (slots === 0 || !holds) return slots;
    const held = holds.heldAgainst(candidate.id, step.name, priority, performance.now());
    return Math.floor(countExpectedSlots(slots, step, candidate, held));
  }

  /** Returns the expected room on an endpoint once others have used what is meant for them. */
  private readExpectedSlots(
    { step, priority }: PlanInput,
    candidate: FleetCandidate,
    slots: number,
  ): number {
    const { holds } = this.opts;
    const { id } = candidate;
    const expected = this.expected.onEndpoint(id, priority);
    if (!holds) return countExpectedSlots(slots, step, candidate, expected);
    const held = holds.heldAgainst(id, step.name, priority, performance.now());
    return countExpectedSlots(slots, step, candidate, addResources(expected, held));
  }

  /** Spreads the tasks that the query is for over its endpoints in proportion to their room. */
  private recordPlanned(
    { step, candidates, priority }: PlanInput,
    chosen: EndpointOption[],
    tasks: number,
  ): void {
    const sum = chosen.reduce((total, it) => total + it.slots * it.probability, 0);
    const factor = Math.min(1, tasks / sum);
    const uses = new Map<string, number>();
    const slots = new Map<string, number>();
    for (const it of chosen) {
      uses.set(it.id, it.slots * it.probability * factor);
      const free = countSlots(step, candidates.get(it.id)!, this.opts.ledger);
      if (free > 0) slots.set(it.id, free);
    }
    const { organisation } = step.job;
    const { size } = step.spec;
    this.expected.set(step.name, { organisation, priority, size, tasks: uses });
    this.planned.set(step.name, { slots });
  }

  /** Learns which share of the room that was free at the query is still free at the answer. */
  private recordRoomLeft(
    { step, queue, candidates }: Omit<PlanInput, 'priority'>,
    { slots }: PlannedQuery,
    good: ReadonlySet<string>,
  ): void {
    let before = 0;
    let after = 0;
    for (const [id, count] of slots) {
      const candidate = candidates.get(id);
      if (!good.has(id) || !candidate) continue;
      before += count;
      after += Math.min(count, countSlots(step, candidate, this.opts.ledger));
    }
    if (before > 0) this.averagesOf(queue).roomLeft.add(after / before);
  }

  /** Returns the share of suitable endpoints, from the answers for the step and for its queue. */
  private suitableShareOf({ name }: QueuePolicy, cache: TicketCache): number {
    const { suitable, unsuitable } = cache.countKnown();
    const expected = this.shares.of(name).value * QUEUE_SHARE_WEIGHT;
    return (expected + suitable) / (QUEUE_SHARE_WEIGHT + suitable + unsuitable);
  }

  private roomLeftOf(queue: QueuePolicy): number {
    return Math.max(MIN_ROOM_LEFT, this.averagesOf(queue).roomLeft.value);
  }

  private averagesOf({ name, advice }: QueuePolicy): QueueAverages {
    let averages = this.averages.get(name);
    if (!averages) {
      const { decideMs, perEndpointMs } = advice as AdvicePolicy;
      averages = {
        callMs: new MovingAverage(decideMs + perEndpointMs * TYPICAL_ENDPOINTS),
        roomLeft: new MovingAverage(INITIAL_ROOM_LEFT),
      };
      this.averages.set(name, averages);
    }
    return averages;
  }
}
