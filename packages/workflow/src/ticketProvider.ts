import type { AdviceBroker, AdviceOutcome } from './adviceBroker.js';
import type { QueuePolicy } from './cellConfig.js';
import { EarlyQueryPlanner } from './earlyQueryPlanner.js';
import type { FleetCandidate } from './endpointSlots.js';
import type { DurationReader } from './criticalPaths.js';
import { LateQueryPlanner } from './lateQueryPlanner.js';
import type { OmissionReason, QueryPlanner } from './queryPlanner.js';
import type { ReadyStep, ReadySteps } from './readySteps.js';
import type { RoomHolds } from './roomHolds.js';
import type { RunLedger } from './runLedger.js';
import type { SessionContext } from './sessionContext.js';
import { readUrgency, type StepUrgency } from './stepUrgency.js';
import { TicketCache } from './ticketCache.js';

/** Options of a {@link TicketProvider}. */
export interface TicketProviderOptions {
  context: SessionContext;
  ledger: RunLedger;
  broker: AdviceBroker;
  ready: ReadySteps;
  /** Returns the endpoints of a queue's pool that are available now. */
  listCandidates: (queue: QueuePolicy) => ReadonlyMap<string, FleetCandidate>;
  /** Returns whether the scheduler may place a task of a step on an endpoint with room now. */
  canPlace: (step: string, endpoint: string) => boolean;
  /** Room that is kept for other steps. */
  holds?: RoomHolds;
  /** Returns the expected duration of a task; by default the submitted one. */
  readDurationMs?: DurationReader;
  /** Called on a response from the advisor, as another scheduling cycle may place more tasks. */
  onAdvice: () => void;
}

/** Priority of queries for restarts of service tasks; lower than that of any queue. */
const RESTART_PRIORITY = Number.MIN_SAFE_INTEGER;

/**
 * Maximum number of requests of an organisation for one queue. Ordinary load leaves about a hundred
 * of all organisations waiting; each one costs time with each query that is sent.
 */
const MAX_OWN_REQUESTS = 256;

/** Share of instances without a call above which the advisor counts as idle. */
const IDLE_SHARE = 0.5;

/** Label of that priority in metrics. */
const RESTART_LABEL = 'restart';

/** Request for a query about a step, until its outcome. */
interface StepRequest {
  /** The step as it was when the request was made or last confirmed. */
  step: ReadyStep;
  queue: QueuePolicy;
  /** Tickets of the step, which may have ended since. */
  cache: TicketCache;
  priority: number;
  /** The step cannot start yet. */
  isAhead: boolean;
  /** Monotonic time. */
  startMs: number;
  urgency?: StepUrgency;
  /** Why the last assembly chose no endpoints. */
  omitted?: OmissionReason;
}

function ownerOf({ job }: ReadyStep): string {
  return `${job.organisation} ${job.queue}`;
}

/** Queries the advisor for endpoints that may run a step, and caches the tickets it returns. */
export class TicketProvider {
  private readonly opts: TicketProviderOptions;
  private readonly planner: QueryPlanner;
  private readonly caches = new Map<string, TicketCache>();
  /** Request in progress, by step. */
  private readonly requests = new Map<string, StepRequest>();
  /** Number of them by organisation and queue. */
  private readonly requestCounts = new Map<string, number>();
  /** Why no query was sent at the last attempt, by step. */
  private readonly omissions = new Map<string, OmissionReason>();

  constructor(opts: TicketProviderOptions) {
    this.opts = opts;
    const { context, ledger, canPlace, holds, broker } = opts;
    const isAdvisorIdle = (): boolean => broker.idleShare > IDLE_SHARE;
    this.planner = context.features.has('advice-scheduling')
      ? new LateQueryPlanner({ context, ledger, canPlace, isAdvisorIdle, holds })
      : new EarlyQueryPlanner(ledger);
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
    const request = this.requests.get(step);
    const nowMs = performance.now();
    return {
      isAsking: request !== undefined,
      queryAgeMs: request && Math.round(nowMs - request.startMs),
      isQueryAssigned: request && broker.isAssigned(step),
      querySlackMs: request?.urgency && Math.round(request.urgency.latestStartMs - nowMs),
      queryOmitted: this.omissions.get(step),
      questions: broker.backlog,
      assignedQuestions: broker.assignedCount,
      oldestQuestionMs: Math.round(broker.oldestAgeMs),
    };
  }

  /** Returns the ticket for a start that is decided now. */
  useTicket(step: string, endpoint: string, nowMs: number): string | undefined {
    const cache = this.ticketsOf(step);
    if (cache.hasUnusedResponse) this.opts.context.meter.countAdviceRequest('used');
    cache.settleResponse();
    return cache.find(endpoint, nowMs);
  }

  /** Deletes the cached tickets of a step that has ended. */
  forgetStep(step: string): void {
    this.countUnused(this.caches.get(step));
    this.caches.delete(step);
    this.omissions.delete(step);
    this.planner.forgetStep(step);
    this.opts.broker.cancel(step);
  }

  /** Deletes the tickets of an endpoint that has restarted or rejected one. */
  dropTickets(endpoint: string): void {
    for (const cache of this.caches.values()) cache.drop(endpoint);
  }

  /** Requests a query about a step, unless there is a request, or nothing to query about. */
  query(step: ReadyStep, queue: QueuePolicy, isAhead = false): void {
    if (!queue.advice) return;
    const known = this.requests.get(step.name);
    if (known) {
      known.isAhead &&= isAhead;
      return;
    }
    const cache = this.ticketsOf(step.name);
    if (this.planner.isAtLimit(step, queue)) {
      this.omissions.set(step.name, 'at-limit');
      cache.suspendSearch();
      return;
    }
    if (!cache.tryBeginSearch()) return;
    if ((this.requestCounts.get(ownerOf(step)) ?? 0) >= MAX_OWN_REQUESTS) {
      this.omissions.set(step.name, 'too-many');
      cache.backOff();
      return;
    }
    const priority = step.isRestart ? RESTART_PRIORITY : queue.priority;
    const startMs = performance.now();
    const request: StepRequest = { step, queue, cache, priority, isAhead, startMs };
    if (this.planner.isLate) {
      request.urgency = readUrgency(step, queue, this.opts.readDurationMs);
      this.send(request, this.planner.expectedCallMs(queue), () => this.assemble(request));
      return;
    }
    const endpoints = this.assemble(request);
    if (endpoints.length === 0) return;
    const { decideMs, perEndpointMs } = queue.advice;
    this.send(request, decideMs + perEndpointMs * endpoints.length, () => endpoints);
  }

  private send(request: StepRequest, callMs: number, assemble: () => string[]): void {
    const { broker, context } = this.opts;
    const { priority, urgency, queue, cache } = request;
    const step = request.step.name;
    this.requests.set(step, request);
    this.changeCount(request, 1);
    cache.beginQuery();
    broker
      .query({ step, priority, callMs, urgency, policy: queue.advice!, assemble })
      .then((outcome) => this.settle(request, outcome))
      .catch((err: Error) => {
        context.logger.warn('advisor query failed', { step, err: err.message });
      });
  }

  /** Returns the endpoints to query about now; none if no query is needed. */
  private assemble(request: StepRequest): string[] {
    const step = this.findCurrent(request);
    const chosen = step ? this.plan(step, request) : 'not-waiting';
    if (typeof chosen !== 'string') {
      this.omissions.delete(request.step.name);
      return chosen;
    }
    request.omitted = chosen;
    if (!step) return [];
    this.omissions.set(step.name, chosen);
    if (chosen === 'at-limit' && this.planner.isAtLimit(step, request.queue)) {
      request.cache.suspendSearch();
    } else if (chosen !== 'not-waiting' && chosen !== 'failed') {
      // With hundreds of waiting steps, an assembly every 50 ms each would take half a core.
      request.cache.backOff();
    }
    return [];
  }

  private plan(
    step: ReadyStep,
    { queue, cache, priority }: StepRequest,
  ): string[] | OmissionReason {
    const { context, listCandidates } = this.opts;
    try {
      return this.planner.plan({ step, queue, candidates: listCandidates(queue), cache, priority });
    } catch (err) {
      const { message } = err as Error;
      context.logger.error('query was not assembled', { step: step.name, err: message });
      return 'failed';
    }
  }

  /** Returns the step as it is now, or undefined if no task of it waits any more. */
  private findCurrent({ step, isAhead }: StepRequest): ReadyStep | undefined {
    const { ready, context } = this.opts;
    const current = ready.find(step.name);
    if (current || !isAhead) return current;
    // The job of the first step is not in the state until its submission is committed.
    const job = context.state.jobs.get(step.job.id);
    if (!job) return step;
    const hasStarted = context.state.findStep(job, step.occurrence, step.step) !== undefined;
    return job.status === 'open' && !hasStarted ? step : undefined;
  }

  private settle(request: StepRequest, outcome: AdviceOutcome): void {
    const { context, listCandidates, onAdvice } = this.opts;
    const { step, queue, cache, startMs } = request;
    const response = outcome.type === 'answered' ? outcome.response : undefined;
    this.requests.delete(step.name);
    this.changeCount(request, -1);
    cache.endQuery();
    this.planner.settle({ step, queue, candidates: listCandidates(queue), cache }, response);
    if (outcome.type === 'dropped') {
      context.meter.countAdviceRequest(request.omitted ?? 'not-waiting');
      return;
    }
    context.meter.countAdvice(response !== undefined, performance.now() - startMs);
    if (outcome.type === 'failed') {
      context.meter.countAdviceRequest('failed');
      return;
    }
    const { priority } = request;
    const label = priority === RESTART_PRIORITY ? RESTART_LABEL : String(priority);
    context.meter.observeAdviceCall(label, outcome.callMs);
    this.countUnused(cache);
    cache.record(outcome.response);
    // The step has ended while the query was in flight.
    if (this.caches.get(step.name) !== cache) this.countUnused(cache);
    onAdvice();
  }

  private changeCount({ step }: StepRequest, change: 1 | -1): void {
    const owner = ownerOf(step);
    const count = (this.requestCounts.get(owner) ?? 0) + change;
    if (count > 0) this.requestCounts.set(owner, count);
    else this.requestCounts.delete(owner);
  }

  private countUnused(cache: TicketCache | undefined): void {
    if (!cache?.hasUnusedResponse) return;
    this.opts.context.meter.countAdviceRequest('unused');
    cache.settleResponse();
  }
}
