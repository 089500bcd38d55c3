import type { IncomingMessage } from 'node:http';

import { RefusalError } from '@lagoongap/model/refusalError.js';

import { CostLimiter } from './costLimiter.js';
import type { LimitReporter } from './limitReporter.js';

/** Time after which a refused caller may retry. */
const RETRY_AFTER_MS = 1000;

/** Minimum time between two changes of the order of eviction for one request. */
const PROGRESS_RESOLUTION_MS = 50;

/** Memory that a request takes besides its headers and body, with its call to the leader. */
const REQUEST_OVERHEAD_BYTES = 16 * 1024;

/** Part of a {@link RequestBudget} that one request holds. */
export interface RequestReservation extends Disposable {
  /**
   * Called at most once, when the request is to be refused in favour of others; set by the code that
   * receives its body, without which the request holds nothing that could be released.
   */
  onEvicted?: (refusal: RefusalError) => void;
  /** Sets the bytes of the body that are held; throws an `overloaded` refusal beyond the budget. */
  resize(bodyBytes: number): void;
  /**
   * Resolves when the complete body may be parsed, which takes `cost` bytes of memory until
   * `releaseCost` is called; rejects with an `overloaded` refusal beyond the budget.
   */
  acquireCost(cost: number): Promise<void>;
  /** Called when the request has been handled. */
  releaseCost(): void;
}

interface Entry {
  bytes: number;
  progressMs: number;
  isReceived: () => boolean;
  reservation?: RequestReservation;
}

function createRefusal(): RefusalError {
  return new RefusalError({
    type: 'overloaded',
    runState: 'not-run',
    message: 'requests in progress hold all the memory that is set aside for them',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/**
 * Limits the memory of all requests in progress in a process: headers, bodies received so far,
 * bodies of requests that have not been answered, and what becomes of bodies that are parsed. When it is exhausted, the incomplete request
 * without progress for the longest time is refused first, as ordinary requests complete quickly.
 */
export class RequestBudget {
  private readonly maxBytes: number;
  private readonly reporter: LimitReporter;
  /** Requests whose body is incomplete; the one without progress for longest comes first. */
  private readonly incomplete = new Set<Entry>();
  private readonly costs: CostLimiter;
  private heldBytes = 0;

  /** @param maxCost - Bytes of memory for the contents of bodies that are parsed. */
  constructor(maxBytes: number, reporter: LimitReporter, maxCost = maxBytes) {
    this.maxBytes = maxBytes;
    this.reporter = reporter;
    this.costs = new CostLimiter({ maxCost, reporter });
  }

  /** Bytes held by all requests. */
  get bytes(): number {
    return this.heldBytes;
  }

  /**
   * Admits a request until it is disposed of; throws an `overloaded` refusal beyond the budget.
   *
   * @param isReceived - Returns whether the request is complete, so that it is no longer evicted.
   */
  admit(headerBytes: number, isReceived: () => boolean): RequestReservation {
    const baseBytes = headerBytes + REQUEST_OVERHEAD_BYTES;
    const entry: Entry = { bytes: 0, progressMs: performance.now(), isReceived };
    this.resize(entry, baseBytes);
    this.incomplete.add(entry);
    let isReleased = false;
    let cost: Disposable | undefined;
    const releaseCost = (): void => cost?.[Symbol.dispose]();
    const reservation: RequestReservation = {
      resize: (bodyBytes) => this.resize(entry, baseBytes + bodyBytes),
      acquireCost: async (bytes) => {
        cost = await this.costs.acquire(bytes);
        // The connection may have been closed meanwhile.
        if (isReleased) releaseCost();
      },
      releaseCost,
      [Symbol.dispose]: () => {
        isReleased = true;
        this.release(entry);
      },
    };
    entry.reservation = reservation;
    return reservation;
  }

  private resize(entry: Entry, bytes: number): void {
    this.recordProgress(entry);
    const added = bytes - entry.bytes;
    if (added > 0) this.makeRoom(entry, added);
    entry.bytes = bytes;
    this.heldBytes += added;
  }

  private recordProgress(entry: Entry): void {
    const nowMs = performance.now();
    if (nowMs - entry.progressMs < PROGRESS_RESOLUTION_MS || !this.incomplete.delete(entry)) return;
    this.incomplete.add(entry);
    Object.assign(entry, { progressMs: nowMs });
  }

  /** Evicts incomplete requests until there is room for `added` bytes more of an entry. */
  private makeRoom(entry: Entry, added: number): void {
    for (const candidate of this.incomplete) {
      if (this.heldBytes + added <= this.maxBytes) return;
      if (candidate.isReceived()) this.incomplete.delete(candidate);
      else if (candidate !== entry && candidate.reservation?.onEvicted) this.evict(candidate);
    }
    if (this.heldBytes + added <= this.maxBytes) return;
    this.reporter.record('request-bytes');
    throw createRefusal();
  }

  private evict(entry: Entry): void {
    this.release(entry);
    this.reporter.record('request-bytes');
    entry.reservation?.onEvicted?.(createRefusal());
  }

  private release(entry: Entry): void {
    this.incomplete.delete(entry);
    this.heldBytes -= entry.bytes;
    Object.assign(entry, { bytes: 0 });
  }
}

const reservations = new WeakMap<IncomingMessage, RequestReservation>();

/** Attaches a reservation to its request, for the code that reads the body. */
export function attachReservation(req: IncomingMessage, reservation: RequestReservation): void {
  reservations.set(req, reservation);
}

/** Returns the reservation of a request, or undefined if its listener has no budget. */
export function findReservation(req: IncomingMessage): RequestReservation | undefined {
  return reservations.get(req);
}
