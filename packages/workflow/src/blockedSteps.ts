import type { ReadyStep } from './readySteps.js';
import type { RunLedger } from './runLedger.js';
import type { TicketCache } from './ticketCache.js';

/** Conditions under which placement of a step failed. */
interface BlockedState {
  waitingCount: number;
  /** Version of the step's ticket cache; 0 if no tickets are needed. */
  ticketVersion: number;
  /** Number of capacity releases that were considered. */
  releaseCount: number;
  isWithinLimit: boolean;
}

/** Current conditions for the placement of a step. */
export interface PlacementConditions {
  step: ReadyStep;
  /** Absent if the queue does not use an advisor. */
  tickets?: TicketCache;
  isWithinLimit: boolean;
  /** Returns whether an endpoint is available and has free capacity for one task. */
  hasCapacity: (endpoint: string) => boolean;
}

/**
 * Tracks steps that could not be placed. When the fleet is full and many steps wait, a scheduling
 * cycle re-evaluates only those whose conditions have changed: tickets, the organisation's usage,
 * or free capacity on an endpoint that they may use.
 */
export class BlockedSteps {
  private readonly ledger: RunLedger;
  private readonly states = new Map<string, BlockedState>();

  constructor(ledger: RunLedger) {
    this.ledger = ledger;
  }

  /** Records that the remaining waiting tasks of a step could not be placed. */
  recordBlocked({ step, tickets, isWithinLimit }: PlacementConditions, waitingCount: number): void {
    this.states.set(step.name, {
      waitingCount,
      ticketVersion: tickets?.version ?? 0,
      releaseCount: this.ledger.releaseCount,
      isWithinLimit,
    });
  }

  /** Returns whether no change since the last attempt could allow a waiting task to be placed. */
  isBlocked(
    { step, tickets, isWithinLimit, hasCapacity }: PlacementConditions,
    nowMs: number,
  ): boolean {
    const state = this.states.get(step.name);
    if (!state || state.waitingCount !== step.waiting.length) return false;
    if (tickets?.isSuspended && !isWithinLimit) return true;
    if (state.ticketVersion !== (tickets?.version ?? 0)) return false;
    if (tickets && nowMs >= tickets.nextSearchMs) return false;
    if (!isWithinLimit) return true;
    if (!state.isWithinLimit) return false;
    const released = this.ledger.listReleases(state.releaseCount);
    state.releaseCount = this.ledger.releaseCount;
    return !released.some(
      (endpoint) =>
        (!tickets || tickets.find(endpoint, nowMs) !== undefined) && hasCapacity(endpoint),
    );
  }

  /** Re-evaluates all steps, after changes that are not tracked, such as endpoints that return. */
  clear(): void {
    this.states.clear();
    this.ledger.discardReleases();
  }
}
