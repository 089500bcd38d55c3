import { compareUrgency, type StepUrgency } from './stepUrgency.js';

/** A query that waits to be sent to the advisor. */
export interface QueuedQuery {
  /** Lower values are more urgent. */
  priority: number;
  /** Expected duration of the call in milliseconds. */
  callMs: number;
  /** Orders the queries of one priority; absent: first come, first served. */
  urgency?: StepUrgency;
}

interface PriorityClass<Query> {
  priority: number;
  /** In the order of their arrival. */
  queries: Query[];
  /** Queries that were taken before and go first. */
  returned: Query[];
  /** Call time used, divided by the share of the class. */
  virtualMs: number;
  takeCount: number;
  /** Rank among the waiting priorities when a query was taken last; 1 is the first. */
  rank: number;
}

/**
 * Every n-th query of a priority is the oldest one whatever its slack, so that a query that others
 * with less slack precede is sent after at most n times the number of older ones.
 */
const OLDEST_TURN = 4;

function countQueries<Query>({ queries, returned }: PriorityClass<Query>): number {
  return queries.length + returned.length;
}

function findNext<Query extends QueuedQuery>({
  queries,
  returned,
  takeCount,
}: PriorityClass<Query>): Query | undefined {
  if (returned.length > 0) return returned[0];
  if (takeCount % OLDEST_TURN === OLDEST_TURN - 1) return queries[0];
  const nowMs = performance.now();
  let next = queries[0];
  for (const query of queries) {
    if (!next?.urgency || !query.urgency) continue;
    if (compareUrgency(query.urgency, next.urgency, nowMs + query.callMs) < 0) next = query;
  }
  return next;
}

function removeQuery<Query>({ queries, returned }: PriorityClass<Query>, query: Query): void {
  const list = returned[0] === query ? returned : queries;
  list.splice(list.indexOf(query), 1);
}

/**
 * Orders queries to the advisor. While queries of several priorities wait, the second one gets half
 * the call time of the first, the third one a third, and so on, so that urgent work cannot starve
 * the rest however fast its queries arrive, nor long calls of less urgent work occupy all instances.
 * Within a priority, queries are ordered by the urgency of their steps.
 */
export class AdviceQueue<Query extends QueuedQuery> {
  /** Sorted by priority. */
  private readonly classes: PriorityClass<Query>[] = [];
  /** Virtual time of the class that was served last. */
  private virtualMs = 0;

  get size(): number {
    return this.classes.reduce((sum, it) => sum + countQueries(it), 0);
  }

  /** Iterates over all queries, in no particular order. */
  *[Symbol.iterator](): Generator<Query> {
    for (const { queries, returned } of this.classes) {
      yield* returned;
      yield* queries;
    }
  }

  /** Adds a query to those of its priority. */
  add(query: Query): void {
    this.activate(query.priority).queries.push(query);
  }

  /** Adds a query that was taken before, ahead of those of its priority. */
  addFirst(query: Query): void {
    this.activate(query.priority).returned.unshift(query);
  }

  /**
   * Removes and returns the next query.
   *
   * @param admits - Returns whether a query may be sent now; the others keep their turn.
   */
  take(admits: (query: Query) => boolean = () => true): Query | undefined {
    const waiting = this.classes.filter((it) => countQueries(it) > 0);
    waiting.forEach((it, index) => {
      it.rank = index + 1;
    });
    const skipped: { it: PriorityClass<Query>; callMs: number }[] = [];
    for (const next of [...waiting].sort((a, b) => a.virtualMs - b.virtualMs)) {
      const query = findNext(next);
      if (query && admits(query)) {
        removeQuery(next, query);
        next.takeCount += 1;
        this.virtualMs = next.virtualMs;
        next.virtualMs += query.callMs * next.rank;
        // A class that was not admitted makes up for one call only.
        for (const { it, callMs } of skipped) {
          it.virtualMs = Math.max(it.virtualMs, this.virtualMs - callMs * it.rank);
        }
        return query;
      }
      if (query) skipped.push({ it: next, callMs: query.callMs });
    }
    return undefined;
  }

  /** Changes the call time that was charged for the query taken last from a priority. */
  correct(priority: number, changeMs: number): void {
    const taken = this.classes.find((it) => it.priority === priority);
    if (taken) taken.virtualMs += changeMs * taken.rank;
  }

  /** Removes and returns the queries that match. */
  remove(matches: (query: Query) => boolean): Query[] {
    const removed = [...this].filter(matches);
    if (removed.length === 0) return removed;
    for (const it of this.classes) {
      it.queries = it.queries.filter((query) => !matches(query));
      it.returned = it.returned.filter((query) => !matches(query));
    }
    return removed;
  }

  private activate(priority: number): PriorityClass<Query> {
    let found = this.classes.find((it) => it.priority === priority);
    if (!found) {
      found = { priority, queries: [], returned: [], virtualMs: 0, takeCount: 0, rank: 1 };
      this.classes.push(found);
      this.classes.sort((a, b) => a.priority - b.priority);
    }
    // A priority that was idle must not make up for the time in which it had no queries.
    if (countQueries(found) === 0) found.virtualMs = Math.max(found.virtualMs, this.virtualMs);
    return found;
  }
}
