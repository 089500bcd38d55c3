import type { AdviceAdmission } from './adviceAdmission.js';
import { AdviceQueue, type QueuedQuery } from './adviceQueue.js';
import type { AdvicePolicy } from './cellConfig.js';
import type { AdviceResponse, Ticket } from './ticketCache.js';

/** Query to the advisor, as assigned to an instance that sends it. */
export interface AdviceQuery {
  id: number;
  /** Name of the step. */
  step: string;
  endpoints: string[];
  /** Time after which the instance abandons the call in milliseconds. */
  timeoutMs: number;
}

/** Result of a query, as reported by the instance that sent it. */
export interface AdviceReport {
  id: number;
  /** Absent if the advisor returned no usable response. */
  good?: Ticket[];
  /** Time from request to response in milliseconds, measured by the instance. */
  durationMs: number;
  /** Validity of the tickets in milliseconds, counted from the response. */
  validMs?: number;
}

/** Request for a query about one step. */
export interface AdviceRequest extends QueuedQuery {
  /** Name of the step. */
  step: string;
  policy: AdvicePolicy;
  /**
   * Chooses the endpoints when an instance can send the query; called again if the query is
   * reassigned. Returns none if no query is needed any more.
   */
  assemble: () => string[];
}

/** Outcome of a request; it is dropped if no query was needed any more. */
export type AdviceOutcome =
  | { type: 'answered'; response: AdviceResponse; callMs: number }
  | { type: 'failed' }
  | { type: 'dropped' };

interface Assignment {
  /** Monotonic time. */
  atMs: number;
  endpoints: string[];
}

interface PendingQuery extends AdviceRequest {
  /** Query of the latest assignment, if there is one. */
  query?: AdviceQuery;
  /** Instance that the query is assigned to, if any. */
  instance?: string;
  resolve: (outcome: AdviceOutcome) => void;
  /** Monotonic time of the call to {@link AdviceBroker.query}. */
  queuedMs: number;
  /** Assignments by the id that the query had. */
  assignments: Map<number, Assignment>;
  /** Timer of the latest assignment. */
  deadline?: NodeJS.Timeout;
}

interface Waiter {
  resolve: (query: AdviceQuery | undefined) => void;
  timer: NodeJS.Timeout;
}

/** Allowance for network latency between leader, instance and advisor. */
const TRANSIT_ALLOWANCE_MS = 250;

/** Distance between the first query ids of two terms. */
const IDS_PER_TERM = 2 ** 32;

/** Number of assignments after which a query fails. */
const MAX_ASSIGNMENTS = 4;

/** Time after which the assembly of queries lets the event loop continue. */
const ASSEMBLY_TURN_MS = 5;

/**
 * Distributes queries to the advisor over all instances. The advisor processes one call at a time
 * per calling instance, so each instance polls for one query, sends it, reports the result and
 * polls again. The call time is shared between priorities (see {@link AdviceQueue}). The endpoints
 * of a query are chosen when it is assigned to an instance.
 */
export class AdviceBroker implements Disposable {
  private readonly waiting = new AdviceQueue<PendingQuery>();
  /** Queries by the ids of all their assignments. */
  private readonly assigned = new Map<number, PendingQuery>();
  /** Polls that wait for a query, by instance, the longest wait first. */
  private readonly waiters = new Map<string, Waiter>();
  private readonly admission: AdviceAdmission | undefined;
  private nextId: number;
  private isAssignmentDue = false;

  /**
   * @param term - Term of the leadership; reports for queries of another term are ignored.
   * @param admission - Bounds the instances that long calls occupy; absent: no bound.
   */
  constructor(term: number, admission?: AdviceAdmission) {
    this.nextId = term * IDS_PER_TERM;
    this.admission = admission;
  }

  /** Number of queries that are not assigned to an instance yet. */
  get backlog(): number {
    return this.waiting.size;
  }

  /** Age in milliseconds of the oldest query that is not assigned to an instance yet. */
  get oldestAgeMs(): number {
    const nowMs = performance.now();
    let maxMs = 0;
    for (const { queuedMs } of this.waiting) maxMs = Math.max(maxMs, nowMs - queuedMs);
    return maxMs;
  }

  /** Returns whether a query for a step is assigned to an instance. */
  isAssigned(step: string): boolean {
    return [...this.assigned.values()].some(
      (pending) => pending.step === step && pending.instance !== undefined,
    );
  }

  /** Number of queries that are assigned to an instance. */
  get assignedCount(): number {
    return new Set(this.assigned.values()).size;
  }

  /** Share of the instances that have no call, of those that poll or have one. */
  get idleShare(): number {
    return this.waiters.size / Math.max(1, this.waiters.size + this.assignedCount);
  }

  /** Resolves with the outcome of a request. */
  query(request: AdviceRequest): Promise<AdviceOutcome> {
    return new Promise((resolve) => {
      const queuedMs = performance.now();
      this.waiting.add({ ...request, resolve, queuedMs, assignments: new Map() });
      this.requestAssignment();
    });
  }

  /** Drops the request for a step that has ended, unless an instance has it already. */
  cancel(step: string): void {
    for (const pending of this.waiting.remove((it) => it.step === step)) {
      this.settle(pending, { type: 'dropped' });
    }
  }

  /**
   * Processes reports; resolves with the next query, or with undefined after `waitMs`. An instance
   * has one call at a time, so a call that it repeats replaces the former one, and a query that it
   * has been assigned and does not report has never reached it.
   */
  async exchange(
    instance: string,
    reports: AdviceReport[],
    waitMs: number,
  ): Promise<AdviceQuery | undefined> {
    this.admission?.recordPoll(instance);
    for (const report of reports) this.handleReport(report);
    this.endWait(instance);
    this.reassignUnreported(instance);
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.endWait(instance), waitMs);
      this.waiters.set(instance, { resolve, timer });
      this.assignQueries();
    });
  }

  [Symbol.dispose](): void {
    for (const instance of [...this.waiters.keys()]) this.endWait(instance);
    for (const { deadline, resolve } of this.assigned.values()) {
      clearTimeout(deadline);
      resolve({ type: 'failed' });
    }
    this.assigned.clear();
    for (const { resolve } of this.waiting.remove(() => true)) resolve({ type: 'failed' });
  }

  private endWait(instance: string): void {
    const waiter = this.waiters.get(instance);
    if (!waiter) return;
    this.waiters.delete(instance);
    clearTimeout(waiter.timer);
    waiter.resolve(undefined);
  }

  private reassignUnreported(instance: string): void {
    for (const pending of [...this.assigned.values()]) {
      if (pending.instance === instance) this.reassign(pending);
    }
  }

  /** Assigns queries after the current cycle, so that the most urgent of its requests goes first. */
  private requestAssignment(): void {
    if (this.isAssignmentDue) return;
    this.isAssignmentDue = true;
    queueMicrotask(() => {
      this.isAssignmentDue = false;
      this.assignQueries();
    });
  }

  private assignQueries(): void {
    const endMs = performance.now() + ASSEMBLY_TURN_MS;
    for (const [instance, waiter] of this.waiters) {
      const pending = this.takeNeeded(endMs);
      if (!pending) return;
      this.waiters.delete(instance);
      clearTimeout(waiter.timer);
      waiter.resolve(this.assign(pending, instance));
    }
  }

  /** Returns the next request that still needs a query, and drops the others before it. */
  private takeNeeded(endMs: number): (PendingQuery & { query: AdviceQuery }) | undefined {
    for (;;) {
      const pending = this.waiting.take((call) => this.admission?.admits(call) ?? true);
      if (!pending) return undefined;
      const endpoints = pending.assemble();
      const { step, policy, priority } = pending;
      const callMs = policy.decideMs + policy.perEndpointMs * endpoints.length;
      if (endpoints.length > 0) {
        this.waiting.correct(priority, callMs - pending.callMs);
        // With a new id, reports tell which assignment they belong to.
        const query = {
          id: this.nextId,
          step,
          endpoints,
          timeoutMs: callMs + TRANSIT_ALLOWANCE_MS,
        };
        this.nextId += 1;
        return Object.assign(pending, { query, callMs });
      }
      this.waiting.correct(priority, -pending.callMs);
      this.settle(pending, { type: 'dropped' });
      if (performance.now() > endMs) {
        setTimeout(() => this.assignQueries(), 0);
        return undefined;
      }
    }
  }

  private assign(pending: PendingQuery & { query: AdviceQuery }, instance: string): AdviceQuery {
    const { query, callMs, priority } = pending;
    pending.instance = instance;
    pending.assignments.set(query.id, { atMs: performance.now(), endpoints: query.endpoints });
    pending.deadline = setTimeout(() => this.handleTimeout(query.id), query.timeoutMs);
    this.assigned.set(query.id, pending);
    this.admission?.begin(query.id, { priority, callMs }, pending.queuedMs);
    return query;
  }

  private handleTimeout(id: number): void {
    const pending = this.assigned.get(id);
    if (pending) this.reassign(pending);
  }

  /** Reassigns a query whose instance may have failed; fails it after the last assignment. */
  private reassign(pending: PendingQuery): void {
    clearTimeout(pending.deadline);
    if (pending.query) this.admission?.end(pending.query.id);
    if (pending.assignments.size >= MAX_ASSIGNMENTS) {
      this.settle(pending, { type: 'failed' });
      return;
    }
    pending.instance = undefined;
    this.waiting.addFirst(pending);
    this.requestAssignment();
  }

  /** Handles a report for any assignment of a query, even after its deadline. */
  private handleReport({ id, good, durationMs, validMs }: AdviceReport): void {
    const pending = this.assigned.get(id);
    if (!pending) return;
    if (good && validMs !== undefined) {
      const { atMs, endpoints: asked } = pending.assignments.get(id)!;
      // Lower bound of the response time, whatever the network latency.
      const expiresMs = atMs + durationMs + validMs;
      const response = { asked, good, expiresMs };
      this.settle(pending, { type: 'answered', response, callMs: durationMs });
    } else if (pending.instance !== undefined && pending.query?.id === id) {
      this.settle(pending, { type: 'failed' });
    }
  }

  private settle(pending: PendingQuery, outcome: AdviceOutcome): void {
    clearTimeout(pending.deadline);
    for (const id of pending.assignments.keys()) {
      this.assigned.delete(id);
      this.admission?.end(id);
    }
    this.waiting.remove((other) => other === pending);
    pending.resolve(outcome);
  }
}
