import type { AttemptAction } from '@lagoongap/model/endpoint.js';
import { fitsInto } from '@lagoongap/model/resources.js';

import type { EndpointCatalog } from './endpointCatalog.js';
import type { EndpointAccount, LedgerEntry, PlacementLedger } from './placementLedger.js';
import type { PreemptDecision } from './scheduler.js';

/** Reactions to overuse, in this order. */
const STEPS: readonly AttemptAction[] = ['throttle', 'checkpoint', 'stop'];

interface Overuse {
  victim: string | undefined;
  /** Position in the steps of the next reaction. */
  next: number;
  dueAtMs: number;
}

/**
 * Reacts when what is observed on an endpoint exceeds its size: throttles the
 * attempt of the lowest priority, then checkpoints, then stops it, with a pause
 * after each step because reports lag.
 */
export class OveruseGuard {
  private readonly overuses = new Map<string, Overuse>();

  constructor(
    private readonly ledger: PlacementLedger,
    private readonly catalog: EndpointCatalog,
    private readonly pauseMs: number,
  ) {}

  /** Looks at an endpoint after a usage report or a change of its size. */
  check(account: EndpointAccount, nowMs: number): void {
    const isOverused = account.known && !fitsInto(account.observed, account.capacity);
    if (!isOverused) this.overuses.delete(account.id);
    else if (!this.overuses.has(account.id)) {
      this.overuses.set(account.id, { victim: undefined, next: 0, dueAtMs: nowMs });
    }
  }

  /** Returns the reactions that are due. */
  collect(nowMs: number): PreemptDecision[] {
    const decisions: PreemptDecision[] = [];
    for (const [endpointId, overuse] of this.overuses) {
      if (overuse.dueAtMs > nowMs) continue;
      const account = this.ledger.findEndpoint(endpointId);
      if (!account || account.entries.size === 0) {
        this.overuses.delete(endpointId);
        continue;
      }
      overuse.dueAtMs = nowMs + this.pauseMs;
      const decision = this.react(account, overuse);
      if (decision) decisions.push(decision);
    }
    return decisions;
  }

  private react(account: EndpointAccount, overuse: Overuse): PreemptDecision | undefined {
    const victim = this.chooseVictim(account, overuse);
    if (!victim) return undefined;
    const capabilities = this.catalog.find(account.id)?.view.capabilities ?? [];
    while (overuse.next < STEPS.length && !capabilities.includes(STEPS[overuse.next]!)) {
      overuse.next += 1;
    }
    const action = STEPS[overuse.next];
    if (!action) return undefined;
    // The last step is repeated until the attempt is gone, in case an order was lost.
    if (overuse.next < STEPS.length - 1) overuse.next += 1;
    const reason = `usage on endpoint ${account.id} exceeds its size`;
    const { id, endpointId } = victim.attempt;
    return { type: 'preempt', attemptId: id, endpointId, action, reason };
  }

  /** Keeps to one victim until it is gone; requests are only chosen if there is nothing else. */
  private chooseVictim(account: EndpointAccount, overuse: Overuse): LedgerEntry | undefined {
    const current = overuse.victim ? account.entries.get(overuse.victim) : undefined;
    if (current) return current;
    const rank = ({ attempt }: LedgerEntry): number => (attempt.kind === 'request' ? 1 : 0);
    const [first] = [...account.entries.values()].sort(
      (a, b) =>
        rank(a) - rank(b) || a.attempt.priority - b.attempt.priority || b.sequence - a.sequence,
    );
    overuse.victim = first?.attempt.id;
    overuse.next = 0;
    return first;
  }
}
