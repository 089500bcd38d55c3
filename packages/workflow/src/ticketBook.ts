/** Ticket of one endpoint for one step. */
export interface Ticket {
  endpoint: string;
  ticket: string;
}

/** What the advisor said about some endpoints. */
export interface AdviceAnswer {
  /** Endpoints that were named in the question. */
  asked: string[];
  good: Ticket[];
  /** Monotonic time after which the tickets are no longer accepted. */
  expiresMs: number;
}

interface HeldTicket {
  ticket: string;
  expiresMs: number;
}

/** Time that a start order may take from the decision to the endpoint. */
const DISPATCH_MARGIN_MS = 200;

/** Shortest time between two searches for endpoints to ask about. */
const ASK_INTERVAL_MS = 50;

/** Time to the next search after one that found nothing to ask about. */
const IDLE_ASK_INTERVAL_MS = 250;

/**
 * Knowledge about where one step may run. Which endpoints are suitable does not change, so it is
 * kept when their tickets expire.
 */
export class TicketBook {
  private readonly tickets = new Map<string, HeldTicket>();
  private readonly suitable = new Set<string>();
  private readonly unsuitable = new Set<string>();
  private changes = 0;
  private searchedMs = -Infinity;
  private intervalMs = ASK_INTERVAL_MS;

  /** Changes with each answer. */
  get version(): number {
    return this.changes;
  }

  /** Monotonic time from which endpoints to ask about may be searched for again. */
  get nextAskMs(): number {
    return this.searchedMs + this.intervalMs;
  }

  /** Takes up an answer. */
  record({ asked, good, expiresMs }: AdviceAnswer): void {
    this.changes += 1;
    const named = new Set(good.map(({ endpoint }) => endpoint));
    for (const endpoint of asked) if (!named.has(endpoint)) this.unsuitable.add(endpoint);
    for (const { endpoint, ticket } of good) {
      this.suitable.add(endpoint);
      this.tickets.set(endpoint, { ticket, expiresMs });
    }
  }

  /** Returns a ticket that outlives the dispatch of an order, or undefined. */
  find(endpoint: string, nowMs: number): string | undefined {
    const held = this.tickets.get(endpoint);
    return held && held.expiresMs > nowMs + DISPATCH_MARGIN_MS ? held.ticket : undefined;
  }

  /** Endpoints whose tickets outlive the dispatch of an order. */
  listValid(nowMs: number): string[] {
    return [...this.tickets.keys()].filter((endpoint) => this.find(endpoint, nowMs) !== undefined);
  }

  /** Tells whether it is time to look for endpoints to ask about again; true at most so often. */
  mayAsk(): boolean {
    const nowMs = performance.now();
    if (nowMs < this.nextAskMs) return false;
    this.searchedMs = nowMs;
    this.intervalMs = ASK_INTERVAL_MS;
    return true;
  }

  /** Puts the next search off, as the last one found nothing to ask about. */
  noteNothingToAsk(): void {
    this.intervalMs = IDLE_ASK_INTERVAL_MS;
  }

  /** Tells whether a ticket is held that is valid for at least `marginMs` more. */
  isFresh(endpoint: string, nowMs: number, marginMs: number): boolean {
    return (this.tickets.get(endpoint)?.expiresMs ?? 0) > nowMs + marginMs;
  }

  /** Tells what is known about an endpoint. */
  judge(endpoint: string): 'suitable' | 'unsuitable' | 'unknown' {
    if (this.suitable.has(endpoint)) return 'suitable';
    return this.unsuitable.has(endpoint) ? 'unsuitable' : 'unknown';
  }

  /** Forgets the ticket of an endpoint that rejected it or began a new life. */
  drop(endpoint: string): void {
    this.tickets.delete(endpoint);
  }
}
