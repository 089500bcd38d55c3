import { RefusalError } from '@lagoongap/model/refusalError.js';

import type { LimitReporter } from './limitReporter.js';

/** Options of a {@link CostLimiter}. */
export interface CostLimiterOptions {
  /** Bytes of memory for all requests that are parsed, handled or answered at the same time. */
  maxCost: number;
  reporter: LimitReporter;
}

/** Time after which a refused caller may retry. */
const RETRY_AFTER_MS = 1000;

/** Longest wait of a request for its turn; callers of the platform wait for 3 s. */
const MAX_WAIT_MS = 1000;

/** Part of the cost that large requests may use, so that small ones pass them. */
const LARGE_FRACTION = 0.75;

/** Part of the cost up to which a request is small; an ordinary submission is far below it. */
const SMALL_FRACTION = 1 / 64;

/**
 * Cost of all waiting requests as a multiple of the limit, beyond which a further one is unlikely to
 * have its turn in time and is refused at once.
 */
const MAX_WAITING_FACTOR = 8;

interface Waiter {
  cost: number;
  start: () => void;
}

/** Requests of similar cost, which start in the order of their arrival. */
interface Lane {
  maxCost: number;
  waiters: Set<Waiter>;
}

/**
 * Bounds the memory of all requests in a process from the parsing of their bodies to their
 * responses: parsed, validated and forwarded, a body takes many times its bytes. Requests beyond
 * the bound wait as bytes for a short time; small ones do not wait for large ones.
 */
export class CostLimiter {
  private readonly opts: CostLimiterOptions;
  private readonly small: Lane;
  private readonly large: Lane;
  private used = 0;
  private waitingCost = 0;

  constructor(opts: CostLimiterOptions) {
    this.opts = opts;
    this.small = { maxCost: opts.maxCost, waiters: new Set() };
    this.large = { maxCost: opts.maxCost * LARGE_FRACTION, waiters: new Set() };
  }

  /** Cost of the requests that have started. */
  get usedCost(): number {
    return this.used;
  }

  /**
   * Resolves when a request may start; it counts until it is disposed of. A request above the bound
   * counts as the whole bound. Rejects with an `overloaded` refusal if its turn does not come.
   */
  async acquire(wantedCost: number): Promise<Disposable> {
    const { maxCost } = this.opts;
    const lane = wantedCost <= maxCost * SMALL_FRACTION ? this.small : this.large;
    const cost = Math.min(wantedCost, lane.maxCost);
    if (lane.waiters.size === 0 && this.used + cost <= lane.maxCost) this.used += cost;
    else await this.wait(lane, cost);
    let isReleased = false;
    return {
      [Symbol.dispose]: () => {
        if (isReleased) return;
        isReleased = true;
        this.used -= cost;
        this.startWaiting();
      },
    };
  }

  /** Resolves when the cost has been counted. */
  private wait(lane: Lane, cost: number): Promise<void> {
    if (this.waitingCost + cost > this.opts.maxCost * MAX_WAITING_FACTOR) {
      return Promise.reject(this.createRefusal());
    }
    return new Promise((resolve, reject) => {
      const waiter: Waiter = { cost, start: resolve };
      const timer = setTimeout(() => {
        this.remove(lane, waiter);
        reject(this.createRefusal());
      }, MAX_WAIT_MS);
      waiter.start = () => {
        clearTimeout(timer);
        this.remove(lane, waiter);
        resolve();
      };
      lane.waiters.add(waiter);
      this.waitingCost += cost;
    });
  }

  private remove(lane: Lane, waiter: Waiter): void {
    lane.waiters.delete(waiter);
    this.waitingCost -= waiter.cost;
  }

  private startWaiting(): void {
    for (const lane of [this.small, this.large]) {
      for (const waiter of lane.waiters) {
        if (this.used + waiter.cost > lane.maxCost) break;
        this.used += waiter.cost;
        waiter.start();
      }
    }
  }

  private createRefusal(): RefusalError {
    this.opts.reporter.record('request-cost');
    return new RefusalError({
      type: 'overloaded',
      runState: 'not-run',
      message: 'requests in progress use all the memory that is set aside for their contents',
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
}
