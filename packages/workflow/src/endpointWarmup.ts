import { fitsInto, type Resources } from '@lagoongap/model/resources.js';

import type { PoolPolicy } from './cellConfig.js';

/** Share of its capacity that an endpoint takes at the beginning of its warm-up. */
const MIN_CAPACITY_SHARE = 0.25;

/**
 * Load that an endpoint at the beginning of its warm-up counts for. Urgent work takes a cold endpoint
 * only if no warm one has room; for other work its tasks are expected to take twice as long.
 */
const URGENT_COLD_LOAD = 40;
const COLD_LOAD = 4;

/** Orders that are sent a window apart may arrive closer together. */
const WINDOW_MARGIN_FACTOR = 1.1;

/** Time after its decision in which a start is ordered or dropped, beyond its window. */
const MAX_ORDER_DELAY_MS = 3000;

const MS_PER_SECOND = 1000;

/** A start that counts against the bound of an endpoint. */
interface ColdStart {
  /** Monotonic time of the order, or of the decision while it is not ordered. */
  atMs: number;
  isOrdered: boolean;
}

/** What a cold endpoint takes at a moment. */
export interface ColdLimits {
  /** Part of the warm-up that remains, above 0 to 1. */
  coldness: number;
  /** Capacity of the endpoint when it is warm. */
  fullCapacity: Resources;
  /** Returns how many more runs may start there now. */
  countStartsLeft: () => number;
  /** Records a decided start; it counts from its order on, or until it is withdrawn. */
  recordStart: (key: string) => void;
}

/** Returns the part of a capacity that an endpoint takes while it is cold. */
export function limitCapacity(capacity: Resources, { coldness }: ColdLimits): Resources {
  const share = 1 - (1 - MIN_CAPACITY_SHARE) * coldness;
  return {
    cpuMillis: capacity.cpuMillis * share,
    memoryMib: capacity.memoryMib * share,
    accelerators: capacity.accelerators * share,
    slots: capacity.slots * share,
  };
}

/**
 * Returns the capacity that counts for a task. A cold endpoint without runs takes one task of any
 * size, so that a task that needs more than the share does not wait until endpoints are warm.
 */
export function capacityFor(
  size: Resources,
  { capacity, cold }: { capacity: Resources; cold?: ColdLimits },
  runCount: number,
): Resources {
  if (!cold || runCount > 0 || fitsInto(size, capacity)) return capacity;
  return fitsInto(size, cold.fullCapacity) ? size : capacity;
}

/** Returns the load that the coldness of an endpoint counts for. */
export function coldLoadOf(cold: ColdLimits | undefined, isUrgent: boolean): number {
  return cold ? cold.coldness * (isUrgent ? URGENT_COLD_LOAD : COLD_LOAD) : 0;
}

/**
 * Returns the remaining time of a warm-up as stored in the state of an earlier leader.
 *
 * @param coldUntilMs - Unix milliseconds; absent in records of earlier releases.
 */
export function readStoredColdMs(coldUntilMs: number | undefined, wallMs: number): number {
  return Math.max(0, (coldUntilMs ?? 0) - wallMs);
}

/** Difference between a reported time and the stored one up to which the stored one is kept. */
const MIN_STORED_ERROR_MS = 5000;
const MAX_STORED_ERROR_SHARE = 0.5;

/**
 * Returns whether the stored end of a warm-up is close enough to what an endpoint reports. It is all
 * that the next leader knows until the next heartbeat, and each change of it costs a commit.
 */
export function isStoredColdKept(storedMs: number, reportedMs: number): boolean {
  const toleranceMs = Math.max(MIN_STORED_ERROR_MS, reportedMs * MAX_STORED_ERROR_SHARE);
  return Math.abs(storedMs - reportedMs) <= toleranceMs;
}

/** Warm-up of one endpoint as it has reported it; all times are monotonic. */
export class EndpointWarmup {
  private endMs = -Infinity;
  /** Longest remaining time that was reported in this warm-up. */
  private spanMs = 0;
  /** Starts by key of the run. */
  private readonly starts = new Map<string, ColdStart>();
  private readonly startsKnownFromMs: number;

  /** @param startsKnownFromMs - Time before which earlier leaders may have ordered starts. */
  constructor(startsKnownFromMs: number) {
    this.startsKnownFromMs = startsKnownFromMs;
  }

  /** Records the remaining time of the warm-up; 0 if the endpoint is warm. */
  observe(leftMs: number, nowMs: number): void {
    if (leftMs <= 0) {
      this.endMs = Math.min(this.endMs, nowMs);
      return;
    }
    this.spanMs = this.isCold(nowMs) ? Math.max(this.spanMs, leftMs) : leftMs;
    this.endMs = nowMs + leftMs;
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.endMs;
  }

  /** Returns whether the endpoint has been cold at some time after `sinceMs`. */
  wasColdAfter(sinceMs: number): boolean {
    return this.endMs > sinceMs;
  }

  /** Returns what the endpoint takes at this moment, or undefined if it is warm. */
  findLimits(
    fullCapacity: Resources,
    pool: PoolPolicy | undefined,
    nowMs: number,
  ): ColdLimits | undefined {
    if (!this.isCold(nowMs)) return undefined;
    const spanMs = Math.max(this.spanMs, pool?.coldMs ?? 0);
    const startsPerSecond = pool?.coldStartsPerSecond ?? 0;
    return {
      coldness: (this.endMs - nowMs) / spanMs,
      fullCapacity,
      countStartsLeft: () => this.countStartsLeft(startsPerSecond, performance.now()),
      recordStart: (key) => {
        if (startsPerSecond <= 0) return;
        this.starts.set(key, { atMs: performance.now(), isOrdered: false });
      },
    };
  }

  /** Records the order of a start, which a commit or a wait for validity may have delayed. */
  recordOrder(key: string, nowMs: number): void {
    if (this.starts.has(key)) this.starts.set(key, { atMs: nowMs, isOrdered: true });
  }

  /** Removes a start that will not be ordered. */
  withdrawStart(key: string): void {
    this.starts.delete(key);
  }

  private countStartsLeft(startsPerSecond: number, nowMs: number): number {
    if (startsPerSecond <= 0) return Infinity;
    const windowMs = (MS_PER_SECOND / Math.min(1, startsPerSecond)) * WINDOW_MARGIN_FACTOR;
    for (const [key, { atMs, isOrdered }] of this.starts) {
      const maxAgeMs = isOrdered ? windowMs : windowMs + MAX_ORDER_DELAY_MS;
      if (nowMs - atMs >= maxAgeMs) this.starts.delete(key);
    }
    // The predecessor may have used up the window.
    if (nowMs - this.startsKnownFromMs < windowMs) return 0;
    return Math.max(0, Math.max(1, Math.floor(startsPerSecond)) - this.starts.size);
  }
}
