import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { NO_RESOURCES, dominantShare, subtractResources } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { PlacementLedger } from './placementLedger.js';

interface TeamUsage {
  /** Moving average of the dominant share, halved over each half-life. */
  average: number;
  /** Dominant share since the last update. */
  share: number;
  updatedAtMs: number;
}

/**
 * Weighted dominant-resource fairness: orders teams by what they have reserved
 * plus their decaying usage, over their weight.
 */
export class FairShareTracker {
  private readonly usages = new Map<string, TeamUsage>();
  private weights = new Map<string, number>();

  /**
   * @param total - Capacity of the fleet, kept up to date by its owner.
   */
  constructor(
    private readonly ledger: PlacementLedger,
    private readonly total: Resources,
    private readonly halfLifeMs: number,
  ) {}

  configure(config: ClusterConfig): void {
    this.weights = new Map(Object.values(config.teams).map((team) => [team.name, team.share]));
  }

  /** Brings the average of a team up to date; to be called after its reservations changed. */
  update(team: string, nowMs: number): void {
    const usage = this.usages.get(team) ?? { average: 0, share: 0, updatedAtMs: nowMs };
    const elapsedMs = Math.max(0, nowMs - usage.updatedAtMs);
    if (elapsedMs > 0) {
      const kept = 2 ** (-elapsedMs / this.halfLifeMs);
      usage.average = usage.average * kept + usage.share * (1 - kept);
      usage.updatedAtMs = nowMs;
    }
    usage.share = this.readShare(team);
    this.usages.set(team, usage);
  }

  /** Dominant share that a team has reserved of the fleet. */
  readShare(team: string, without: Resources = NO_RESOURCES): number {
    const { reserved } = this.ledger.openTeam(team);
    if (without === NO_RESOURCES) return dominantShare(reserved, this.total);
    return dominantShare(subtractResources(reserved, without), this.total);
  }

  /** Position of a team in the order; the lowest goes first. */
  score(team: string, nowMs: number): number {
    this.update(team, nowMs);
    const usage = this.usages.get(team)!;
    return (usage.share + usage.average) / this.readWeight(team);
  }

  /** Dominant share that a team is entitled to while these teams have work. */
  readEntitlement(team: string, activeTeams: Iterable<string>): number {
    let sum = 0;
    for (const active of activeTeams) sum += this.readWeight(active);
    const weight = this.readWeight(team);
    return sum > 0 ? weight / sum : 1;
  }

  private readWeight(team: string): number {
    // A share of zero means that the team only gets what nobody else wants.
    return Math.max(this.weights.get(team) ?? 0, Number.EPSILON);
  }
}
