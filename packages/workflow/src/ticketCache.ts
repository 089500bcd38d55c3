/** Ticket of one endpoint for one step. */
export interface Ticket {
  endpoint: string;
  ticket: string;
}

/** Response of the advisor to one query. */
export interface AdviceResponse {
  /** Endpoints listed in the query. */
  asked: string[];
  good: Ticket[];
  /** Monotonic time after which the tickets are no longer accepted. */
  expiresMs: number;
}

interface CachedTicket {
  ticket: string;
  expiresMs: number;
}

/** Maximum time from the placement decision until the start order reaches the endpoint. */
const DISPATCH_MARGIN_MS = 200;

/** Minimum time between two searches for endpoints to query. */
const SEARCH_INTERVAL_MS = 50;

/** Time until the next search after one that found no endpoints to query. */
const IDLE_SEARCH_INTERVAL_MS = 250;

/**
 * Caches tickets and endpoint suitability for one step. Suitability does not change, so it is kept
 * after the tickets have expired.
 */
export class TicketCache {
  private readonly tickets = new Map<string, CachedTicket>();
  /** Whether the endpoint may run the step, by endpoint. */
  private readonly suitability = new Map<string, boolean>();
  private suitableCount = 0;
  private responseCount = 0;
  private isLatestUnused = false;
  private lastSearchMs = -Infinity;
  private isQueryPending = false;
  private intervalMs = SEARCH_INTERVAL_MS;
  private isSearchSuspended = false;

  /** Version of the cache; increases with each response. */
  get version(): number {
    return this.responseCount;
  }

  /**
   * Monotonic time of the next allowed search for endpoints to query; Infinity while a query is
   * pending, whose response changes the version of the cache.
   */
  get nextSearchMs(): number {
    if (this.isSearchSuspended) return -Infinity;
    return this.isQueryPending ? Infinity : this.lastSearchMs + this.intervalMs;
  }

  /** Whether no start has used a ticket since the latest response. */
  get hasUnusedResponse(): boolean {
    return this.isLatestUnused;
  }

  /** Records that the use of the latest response is decided. */
  settleResponse(): void {
    this.isLatestUnused = false;
  }

  /** Whether no search begins because the organisation is at its limit. */
  get isSuspended(): boolean {
    return this.isSearchSuspended;
  }

  /** Suspends the search while the organisation is at its limit; the next one begins at once. */
  suspendSearch(): void {
    this.isSearchSuspended = true;
  }

  /** Records that a query was sent. */
  beginQuery(): void {
    this.isQueryPending = true;
  }

  /** Records that the query was answered or has failed. */
  endQuery(): void {
    this.isQueryPending = false;
  }

  /** Adds the result of a query. */
  record({ asked, good, expiresMs }: AdviceResponse): void {
    this.responseCount += 1;
    this.isLatestUnused = true;
    for (const endpoint of asked) {
      if (!this.suitability.has(endpoint)) this.suitability.set(endpoint, false);
    }
    for (const { endpoint, ticket } of good) {
      if (!this.suitability.get(endpoint)) this.suitableCount += 1;
      this.suitability.set(endpoint, true);
      this.tickets.set(endpoint, { ticket, expiresMs });
    }
  }

  /** Returns a ticket that remains valid until a start order arrives, or undefined. */
  find(endpoint: string, nowMs: number): string | undefined {
    const cached = this.tickets.get(endpoint);
    return cached && cached.expiresMs > nowMs + DISPATCH_MARGIN_MS ? cached.ticket : undefined;
  }

  /** Returns the ticket of an endpoint if it has not expired, or undefined. */
  findUnexpired(endpoint: string, nowMs: number): string | undefined {
    const cached = this.tickets.get(endpoint);
    return cached && cached.expiresMs > nowMs ? cached.ticket : undefined;
  }

  /**
   * Lists the endpoints whose tickets remain valid until a start order arrives, and deletes the
   * tickets that have expired.
   */
  listValid(nowMs: number): string[] {
    const valid: string[] = [];
    for (const [endpoint, { expiresMs }] of this.tickets) {
      if (expiresMs > nowMs + DISPATCH_MARGIN_MS) valid.push(endpoint);
      else if (expiresMs <= nowMs) this.tickets.delete(endpoint);
    }
    return valid;
  }

  /** Returns whether a search for endpoints to query may begin now, and records its time. */
  tryBeginSearch(): boolean {
    const nowMs = performance.now();
    if (nowMs < this.nextSearchMs) return false;
    this.isSearchSuspended = false;
    this.lastSearchMs = nowMs;
    this.intervalMs = SEARCH_INTERVAL_MS;
    return true;
  }

  /** Delays the next search because the last one found no endpoints to query. */
  backOff(): void {
    this.intervalMs = IDLE_SEARCH_INTERVAL_MS;
  }

  /** Returns whether a ticket is cached that is valid for more than `marginMs` from now. */
  isFresh(endpoint: string, nowMs: number, marginMs: number): boolean {
    return (this.tickets.get(endpoint)?.expiresMs ?? 0) > nowMs + marginMs;
  }

  /** Returns whether a ticket is cached that a start order at `nowMs` can still use. */
  isValid(endpoint: string, nowMs: number): boolean {
    return this.isFresh(endpoint, nowMs, DISPATCH_MARGIN_MS);
  }

  /** Counts the endpoints whose suitability is known. */
  countKnown(): { suitable: number; unsuitable: number } {
    return {
      suitable: this.suitableCount,
      unsuitable: this.suitability.size - this.suitableCount,
    };
  }

  /** Returns the cached suitability of an endpoint. */
  suitabilityOf(endpoint: string): 'suitable' | 'unsuitable' | 'unknown' {
    const isSuitable = this.suitability.get(endpoint);
    if (isSuitable === undefined) return 'unknown';
    return isSuitable ? 'suitable' : 'unsuitable';
  }

  /** Deletes the ticket of an endpoint that rejected it or has restarted. */
  drop(endpoint: string): void {
    this.tickets.delete(endpoint);
  }
}
