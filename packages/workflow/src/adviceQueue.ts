/** A query that waits to be sent to the advisor. */
export interface QueuedQuery {
  /** Lower values are more urgent. */
  priority: number;
  /** Expected duration of the call in milliseconds. */
  callMs: number;
}

interface PriorityClass<Query> {
  priority: number;
  queries: Query[];
  /** Call time used, divided by the share of the class. */
  virtualMs: number;
}

/**
 * Orders queries to the advisor. While queries of several priorities wait, the second one gets half
 * the call time of the first, the third one a third, and so on, so that urgent work cannot starve
 * the rest however fast its queries arrive, nor long calls of less urgent work occupy all instances.
 */
export class AdviceQueue<Query extends QueuedQuery> {
  /** Sorted by priority. */
  private readonly classes: PriorityClass<Query>[] = [];
  /** Virtual time of the class that was served last. */
  private virtualMs = 0;

  get size(): number {
    return this.classes.reduce((sum, { queries }) => sum + queries.length, 0);
  }

  /** Iterates over all queries, in no particular order. */
  *[Symbol.iterator](): Generator<Query> {
    for (const { queries } of this.classes) yield* queries;
  }

  /** Adds a query behind those of its priority. */
  add(query: Query): void {
    this.activate(query.priority).queries.push(query);
  }

  /** Adds a query that was taken before, ahead of those of its priority. */
  addFirst(query: Query): void {
    this.activate(query.priority).queries.unshift(query);
  }

  /** Removes and returns the next query. */
  take(): Query | undefined {
    let next: PriorityClass<Query> | undefined;
    for (const candidate of this.classes) {
      const isEarlier = !next || candidate.virtualMs < next.virtualMs;
      if (candidate.queries.length > 0 && isEarlier) next = candidate;
    }
    const query = next?.queries.shift();
    if (!next || !query) return undefined;
    this.virtualMs = next.virtualMs;
    next.virtualMs += query.callMs * (1 + this.classes.indexOf(next));
    return query;
  }

  /** Removes and returns the queries that match. */
  remove(matches: (query: Query) => boolean): Query[] {
    const removed = [...this].filter(matches);
    for (const it of this.classes) it.queries = it.queries.filter((query) => !matches(query));
    return removed;
  }

  private activate(priority: number): PriorityClass<Query> {
    let found = this.classes.find((it) => it.priority === priority);
    if (!found) {
      found = { priority, queries: [], virtualMs: 0 };
      this.classes.push(found);
      this.classes.sort((a, b) => a.priority - b.priority);
    }
    // A priority that was idle must not make up for the time in which it had no queries.
    if (found.queries.length === 0) found.virtualMs = Math.max(found.virtualMs, this.virtualMs);
    return found;
  }
}
