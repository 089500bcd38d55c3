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

/**
 * Knowledge about where one step may run. Which endpoints are suitable does not change, so it is
 * kept when their tickets expire.
 */
export class TicketBook {
  private readonly tickets = new Map<string, HeldTicket>();
  private readonly suitable = new Set<string>();
  private readonly unsuitable = new Set<string>();
  private nextAskMs = 0;

  /** Takes up an answer. */
  record({ asked, good, expiresMs }: AdviceAnswer): void {
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
    this.nextAskMs = nowMs + ASK_INTERVAL_MS;
    return true;
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
