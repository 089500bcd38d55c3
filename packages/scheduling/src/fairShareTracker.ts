import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { NO_RESOURCES, dominantShare, subtractResources } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { PlacementLedger } from './placementLedger.js';

interface TeamUsage {
  /** Moving average of the dominant share, with exponential decay by the half-life. */
  average: number;
  /** Dominant share since the last update. */
  share: number;
  updatedAtMs: number;
}

/**
 * Weighted dominant-resource fairness: orders teams by the sum of their reserved share and
 * their decayed past usage, divided by their weight.
 */
export class FairShareTracker {
  private readonly usages = new Map<string, TeamUsage>();
  private weights = new Map<string, number>();

  /**
   * @param total - Capacity of the fleet; the caller updates this object in place.
   */
  constructor(
    private readonly ledger: PlacementLedger,
    private readonly total: Resources,
    private readonly halfLifeMs: number,
  ) {}

  configure(config: ClusterConfig): void {
    this.weights = new Map(Object.values(config.teams).map((team) => [team.name, team.share]));
  }

  /** Updates the average of a team; must be called after its reservations have changed. */
  update(team: string, nowMs: number): void {
    const usage = this.usages.get(team) ?? { average: 0, share: 0, updatedAtMs: nowMs };
    const elapsedMs = Math.max(0, nowMs - usage.updatedAtMs);
    if (elapsedMs > 0) {
      const decay = 2 ** (-elapsedMs / this.halfLifeMs);
      usage.average = usage.average * decay + usage.share * (1 - decay);
      usage.updatedAtMs = nowMs;
    }
    usage.share = this.computeShare(team);
    this.usages.set(team, usage);
  }

  /** Returns the dominant share of the fleet that a team has reserved. */
  computeShare(team: string, without: Resources = NO_RESOURCES): number {
    const { reserved } = this.ledger.getOrCreateTeam(team);
    if (without === NO_RESOURCES) return dominantShare(reserved, this.total);
    return dominantShare(subtractResources(reserved, without), this.total);
  }

  /** Returns the score of a team; the team with the lowest score is served first. */
  score(team: string, nowMs: number): number {
    this.update(team, nowMs);
    const usage = this.usages.get(team)!;
    return (usage.share + usage.average) / this.getWeight(team);
  }

  /** Returns the dominant share that a team is entitled to while these teams have work. */
  computeEntitlement(team: string, activeTeams: Iterable<string>): number {
    let sum = 0;
    for (const active of activeTeams) sum += this.getWeight(active);
    const weight = this.getWeight(team);
    return sum > 0 ? weight / sum : 1;
  }

  private getWeight(team: string): number {
    // A team with a share of zero only gets capacity that no other team requests.
    return Math.max(this.weights.get(team) ?? 0, Number.EPSILON);
  }
}
