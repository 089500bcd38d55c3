import type { AttemptAction } from '@lagoongap/model/endpoint.js';
import { fitsInto } from '@lagoongap/model/resources.js';

import type { EndpointCatalog } from './endpointCatalog.js';
import type { EndpointAccount, LedgerEntry, PlacementLedger } from './placementLedger.js';
import type { PreemptDecision } from './scheduler.js';

/** Reactions to overuse, in order of escalation. */
const REACTION_STEPS: readonly AttemptAction[] = ['throttle', 'checkpoint', 'stop'];

interface Overuse {
  victim: string | undefined;
  /** Index of the next reaction in {@link REACTION_STEPS}. */
  nextStep: number;
  dueAtMs: number;
}

/**
 * Reacts when the observed usage of an endpoint exceeds its size: throttles the attempt of the
 * lowest priority, then checkpoints it, then stops it. Waits after each step because usage
 * reports lag behind.
 */
export class OveruseGuard {
  private readonly overuses = new Map<string, Overuse>();

  constructor(
    private readonly ledger: PlacementLedger,
    private readonly catalog: EndpointCatalog,
    private readonly stepIntervalMs: number,
  ) {}

  /** Updates the overuse state of an endpoint after a usage report or a release. */
  check(account: EndpointAccount, nowMs: number): void {
    const isOverused = account.isRegistered && !fitsInto(account.observed, account.capacity);
    if (!isOverused) this.overuses.delete(account.id);
    else if (!this.overuses.has(account.id)) {
      this.overuses.set(account.id, { victim: undefined, nextStep: 0, dueAtMs: nowMs });
    }
  }

  /** Returns the reactions that are due. */
  collectDue(nowMs: number): PreemptDecision[] {
    const decisions: PreemptDecision[] = [];
    for (const [endpointId, overuse] of this.overuses) {
      if (overuse.dueAtMs > nowMs) continue;
      const account = this.ledger.findEndpoint(endpointId);
      if (!account || account.entries.size === 0) {
        this.overuses.delete(endpointId);
        continue;
      }
      overuse.dueAtMs = nowMs + this.stepIntervalMs;
      const decision = this.createReaction(account, overuse);
      if (decision) decisions.push(decision);
    }
    return decisions;
  }

  private createReaction(account: EndpointAccount, overuse: Overuse): PreemptDecision | undefined {
    const victim = this.chooseVictim(account, overuse);
    if (!victim) return undefined;
    const capabilities = this.catalog.find(account.id)?.view.capabilities ?? [];
    while (
      overuse.nextStep < REACTION_STEPS.length &&
      !capabilities.includes(REACTION_STEPS[overuse.nextStep]!)
    ) {
      overuse.nextStep += 1;
    }
    const action = REACTION_STEPS[overuse.nextStep];
    if (!action) return undefined;
    // The last step is repeated until the attempt is released, as an order may be lost.
    if (overuse.nextStep < REACTION_STEPS.length - 1) overuse.nextStep += 1;
    const reason = `usage on endpoint ${account.id} exceeds its size`;
    const { id, endpointId } = victim.attempt;
    return { type: 'preempt', attemptId: id, endpointId, action, reason };
  }

  /** Keeps the same victim until it is released. Chooses a request only if nothing else runs. */
  private chooseVictim(account: EndpointAccount, overuse: Overuse): LedgerEntry | undefined {
    const current = overuse.victim ? account.entries.get(overuse.victim) : undefined;
    if (current) return current;
    const rank = ({ attempt }: LedgerEntry): number => (attempt.kind === 'request' ? 1 : 0);
    const [first] = [...account.entries.values()].sort(
      (a, b) =>
        rank(a) - rank(b) || a.attempt.priority - b.attempt.priority || b.sequence - a.sequence,
    );
    overuse.victim = first?.attempt.id;
    overuse.nextStep = 0;
    return first;
  }
}
