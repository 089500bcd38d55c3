import { RESOURCE_NAMES } from '@lagoongap/model/resources.js';

import type { EndpointCatalog } from './endpointCatalog.js';
import { listEvictionSteps } from './evictionTracker.js';
import type { EvictionTracker } from './evictionTracker.js';
import type { LedgerEntry, PlacementLedger } from './placementLedger.js';

/** Brings teams under their upper limits, newest and lowest priority first. */
export class LimitEnforcer {
  /** Teams whose limit or reservations have changed since the last look. */
  private readonly changed = new Set<string>();

  constructor(
    private readonly ledger: PlacementLedger,
    private readonly catalog: EndpointCatalog,
    private readonly evictions: EvictionTracker,
    private readonly pauseMs: number,
  ) {}

  /** Has the limit of a team checked at the next decision. */
  mark(team: string): void {
    this.changed.add(team);
  }

  enforce(nowMs: number): void {
    for (const team of this.changed) {
      if (this.ledger.exceedsLimit(team)) this.reduce(team, nowMs);
    }
    this.changed.clear();
  }

  private reduce(team: string, nowMs: number): void {
    const account = this.ledger.openTeam(team);
    const candidates = [...account.entries.values()]
      .filter(({ attempt }) => attempt.kind !== 'request' && !this.evictions.isEvicting(attempt.id))
      .sort((a, b) => a.attempt.priority - b.attempt.priority || b.sequence - a.sequence);
    for (const entry of candidates) {
      if (!this.helps(team, entry)) continue;
      const endpoint = this.catalog.find(entry.attempt.endpointId);
      const steps = endpoint ? listEvictionSteps(endpoint.view.capabilities, false) : [];
      if (steps.length === 0) continue;
      const reason = `team ${team} is over its upper limit`;
      const isNeeded = (): boolean => this.ledger.exceedsLimit(team);
      this.evictions.start({ entry, steps, pauseMs: this.pauseMs, reason, isNeeded }, nowMs);
    }
  }

  /** Tells whether the team stays over its limit in a dimension that the attempt uses. */
  private helps(team: string, entry: LedgerEntry): boolean {
    const { limit, reserved, entries } = this.ledger.openTeam(team);
    const leaving = this.evictions.readTeam(team);
    if (limit.tasks !== undefined && entries.size - leaving.tasks > limit.tasks) return true;
    return RESOURCE_NAMES.some((name) => {
      const excess = reserved[name] - leaving.reserved[name] - (limit[name] ?? Infinity);
      return excess > 0 && entry.reserved[name] > 0;
    });
  }
}
