import { NO_RESOURCES, dominantShare, subtractResources } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { EndpointCatalog } from './endpointCatalog.js';
import type { EvictionTracker } from './evictionTracker.js';
import type { FairShareTracker } from './fairShareTracker.js';
import type { PlacementLedger } from './placementLedger.js';
import { accumulate } from './resourceMath.js';

/** Compares the reservations of teams, less evictions under way, with their entitlements. */
export class Entitlements {
  private readonly shares = new Map<string, number>();
  private readonly overShare = new Map<string, boolean>();

  /**
   * @param active - Teams with running or waiting work, among which the cluster is divided.
   */
  constructor(
    private readonly ledger: PlacementLedger,
    private readonly catalog: EndpointCatalog,
    private readonly evictions: EvictionTracker,
    private readonly tracker: FairShareTracker,
    private readonly active: ReadonlySet<string>,
  ) {}

  /** Returns the dominant share that a team is entitled to. */
  getEntitlement(team: string): number {
    let share = this.shares.get(team);
    if (share === undefined) {
      share = this.tracker.computeEntitlement(team, this.active);
      this.shares.set(team, share);
    }
    return share;
  }

  /** Returns the dominant share of a team after the evictions under way and a further change. */
  projectShare(team: string, change: Resources, factor: 1 | -1): number {
    const { reserved } = this.ledger.getOrCreateTeam(team);
    const projected = subtractResources(reserved, this.evictions.getTeamTotals(team).reserved);
    accumulate(projected, change, factor);
    return dominantShare(projected, this.catalog.total);
  }

  /** Returns whether a team may reclaim lent capacity for one more task of `size`. */
  canReclaim(team: string, size: Resources): boolean {
    return this.projectShare(team, size, 1) <= this.getEntitlement(team);
  }

  /** Returns whether a team exceeds its entitlement at the start of the scheduling cycle. */
  isOverShare(team: string): boolean {
    let isOver = this.overShare.get(team);
    if (isOver === undefined) {
      isOver = this.projectShare(team, NO_RESOURCES, 1) > this.getEntitlement(team);
      this.overShare.set(team, isOver);
    }
    return isOver;
  }

  /** Returns whether a team keeps its entitlement after it has yielded `size`. */
  canYield(team: string, size: Resources): boolean {
    return this.projectShare(team, size, -1) >= this.getEntitlement(team);
  }
}
