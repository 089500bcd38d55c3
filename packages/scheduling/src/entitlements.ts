import { NO_RESOURCES, dominantShare, subtractResources } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { EndpointCatalog } from './endpointCatalog.js';
import type { EvictionTracker } from './evictionTracker.js';
import type { FairShareTracker } from './fairShareTracker.js';
import type { PlacementLedger } from './placementLedger.js';
import { accumulate } from './resourceMath.js';

/** Compares what teams have, less what is giving way already, with what they are entitled to. */
export class Entitlements {
  private readonly shares = new Map<string, number>();
  private readonly overShare = new Map<string, boolean>();

  /**
   * @param active - Teams that have work, among which the cluster is divided.
   */
  constructor(
    private readonly ledger: PlacementLedger,
    private readonly catalog: EndpointCatalog,
    private readonly evictions: EvictionTracker,
    private readonly tracker: FairShareTracker,
    private readonly active: ReadonlySet<string>,
  ) {}

  /** Dominant share that a team is entitled to. */
  readEntitlement(team: string): number {
    let share = this.shares.get(team);
    if (share === undefined) {
      share = this.tracker.readEntitlement(team, this.active);
      this.shares.set(team, share);
    }
    return share;
  }

  /** Dominant share of a team after the evictions under way and a further change. */
  project(team: string, change: Resources, factor: 1 | -1): number {
    const { reserved } = this.ledger.openTeam(team);
    const projected = subtractResources(reserved, this.evictions.readTeam(team).reserved);
    accumulate(projected, change, factor);
    return dominantShare(projected, this.catalog.total);
  }

  /** Tells whether a team may take lent capacity back for one more task of `size`. */
  mayReclaim(team: string, size: Resources): boolean {
    return this.project(team, size, 1) <= this.readEntitlement(team);
  }

  /** Tells whether a team has more than its share at the start of the turn. */
  isOverShare(team: string): boolean {
    let isOver = this.overShare.get(team);
    if (isOver === undefined) {
      isOver = this.project(team, NO_RESOURCES, 1) > this.readEntitlement(team);
      this.overShare.set(team, isOver);
    }
    return isOver;
  }

  /** Tells whether a team keeps its share when `size` is taken from it. */
  mayLose(team: string, size: Resources): boolean {
    return this.project(team, size, -1) >= this.readEntitlement(team);
  }
}
