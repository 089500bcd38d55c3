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

interface PendingQuery extends QueuedQuery {
  query: AdviceQuery;
  /** Instance that the query is assigned to, if any. */
  instance?: string;
  resolve: (response: AdviceResponse | undefined) => void;
  /** Monotonic time of the call to {@link AdviceBroker.query}. */
  queuedMs: number;
  /** Monotonic time of each assignment, by the id that the query had. */
  assignments: Map<number, number>;
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

/**
 * Distributes queries to the advisor over all instances. The advisor processes one call at a time
 * per calling instance, so each instance polls for one query, sends it, reports the result and
 * polls again. The call time is shared between priorities (see {@link AdviceQueue}).
 */
export class AdviceBroker implements Disposable {
  private readonly waiting = new AdviceQueue<PendingQuery>();
  /** Queries by the ids of all their assignments. */
  private readonly assigned = new Map<number, PendingQuery>();
  /** Polls that wait for a query, by instance, the longest wait first. */
  private readonly waiters = new Map<string, Waiter>();
  private nextId: number;

  /** @param term - Term of the leadership; reports for queries of another term are ignored. */
  constructor(term: number) {
    this.nextId = term * IDS_PER_TERM;
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
      ({ query, assignments }) => query.step === step && assignments.has(query.id),
    );
  }

  /**
   * Resolves with the response, or with undefined if there was none.
   *
   * @param priority - Lower values get a larger share of the call time.
   */
  query(
    step: string,
    endpoints: string[],
    policy: AdvicePolicy,
    priority: number,
  ): Promise<AdviceResponse | undefined> {
    const callMs = policy.decideMs + policy.perEndpointMs * endpoints.length;
    const id = this.nextId;
    this.nextId += 1;
    const query = { id, step, endpoints, timeoutMs: callMs + TRANSIT_ALLOWANCE_MS };
    return new Promise((resolve) => {
      const pending: PendingQuery = {
        query,
        priority,
        callMs,
        resolve,
        queuedMs: performance.now(),
        assignments: new Map(),
      };
      this.waiting.add(pending);
      this.assignQueries();
    });
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
      resolve(undefined);
    }
    this.assigned.clear();
    for (const { resolve } of this.waiting.remove(() => true)) resolve(undefined);
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

  private assignQueries(): void {
    for (const [instance, waiter] of this.waiters) {
      const pending = this.waiting.take();
      if (!pending) return;
      this.waiters.delete(instance);
      clearTimeout(waiter.timer);
      const { query } = pending;
      pending.instance = instance;
      pending.assignments.set(query.id, performance.now());
      pending.deadline = setTimeout(() => this.handleTimeout(query.id), query.timeoutMs);
      this.assigned.set(query.id, pending);
      waiter.resolve(query);
    }
  }

  private handleTimeout(id: number): void {
    const pending = this.assigned.get(id);
    if (pending) this.reassign(pending);
  }

  /** Reassigns a query whose instance may have failed; fails it after the last assignment. */
  private reassign(pending: PendingQuery): void {
    clearTimeout(pending.deadline);
    if (pending.assignments.size >= MAX_ASSIGNMENTS) {
      this.settle(pending, undefined);
      return;
    }
    // With a new id, reports tell which assignment they belong to.
    pending.query = { ...pending.query, id: this.nextId };
    pending.instance = undefined;
    this.nextId += 1;
    this.waiting.addFirst(pending);
    this.assignQueries();
  }

  /** Handles a report for any assignment of a query, even after its deadline. */
  private handleReport({ id, good, durationMs, validMs }: AdviceReport): void {
    const pending = this.assigned.get(id);
    if (!pending) return;
    if (good && validMs !== undefined) {
      // Lower bound of the response time, whatever the network latency.
      const respondedMs = pending.assignments.get(id)! + durationMs;
      const { endpoints: asked } = pending.query;
      this.settle(pending, { asked, good, expiresMs: respondedMs + validMs });
    } else if (pending.query.id === id) {
      this.settle(pending, undefined);
    }
  }

  private settle(pending: PendingQuery, response: AdviceResponse | undefined): void {
    clearTimeout(pending.deadline);
    for (const id of pending.assignments.keys()) this.assigned.delete(id);
    this.waiting.remove((other) => other === pending);
    pending.resolve(response);
  }
}
