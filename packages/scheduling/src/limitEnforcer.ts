import { RESOURCE_NAMES } from '@lagoongap/model/resources.js';

import type { EndpointCatalog } from './endpointCatalog.js';
import { listEvictionSteps } from './evictionTracker.js';
import type { EvictionTracker } from './evictionTracker.js';
import type { LedgerEntry, PlacementLedger } from './placementLedger.js';

/** Evicts attempts of teams over their upper limit: lowest priority first, then newest. */
export class LimitEnforcer {
  /** Teams whose limit or reservations have changed since the last check. */
  private readonly changed = new Set<string>();

  constructor(
    private readonly ledger: PlacementLedger,
    private readonly catalog: EndpointCatalog,
    private readonly evictions: EvictionTracker,
    private readonly stepIntervalMs: number,
  ) {}

  /** Schedules a check of the limit of a team for the next scheduling cycle. */
  requestCheck(team: string): void {
    this.changed.add(team);
  }

  enforce(nowMs: number): void {
    for (const team of this.changed) {
      if (this.ledger.exceedsLimit(team)) this.evictExcess(team, nowMs);
    }
    this.changed.clear();
  }

  private evictExcess(team: string, nowMs: number): void {
    const account = this.ledger.getOrCreateTeam(team);
    const candidates = [...account.entries.values()]
      .filter(({ attempt }) => attempt.kind !== 'request' && !this.evictions.isEvicting(attempt.id))
      .sort((a, b) => a.attempt.priority - b.attempt.priority || b.sequence - a.sequence);
    for (const entry of candidates) {
      if (!this.reducesExcess(team, entry)) continue;
      const record = this.catalog.find(entry.attempt.endpointId);
      const steps = record ? listEvictionSteps(record.view.capabilities, false) : [];
      if (steps.length === 0) continue;
      const reason = `team ${team} is over its upper limit`;
      const isNeeded = (): boolean => this.ledger.exceedsLimit(team);
      this.evictions.start(
        { entry, steps, stepIntervalMs: this.stepIntervalMs, reason, isNeeded },
        nowMs,
      );
    }
  }

  /**
   * Returns whether the team stays over its limit, after the evictions under way, in the
   * number of tasks or in a dimension that the attempt uses.
   */
  private reducesExcess(team: string, entry: LedgerEntry): boolean {
    const { limit, reserved, entries } = this.ledger.getOrCreateTeam(team);
    const evicting = this.evictions.getTeamTotals(team);
    if (limit.tasks !== undefined && entries.size - evicting.tasks > limit.tasks) return true;
    return RESOURCE_NAMES.some((name) => {
      const excess = reserved[name] - evicting.reserved[name] - (limit[name] ?? Infinity);
      return excess > 0 && entry.reserved[name] > 0;
    });
  }
}
