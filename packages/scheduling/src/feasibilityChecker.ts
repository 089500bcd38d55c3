import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { fitsInto } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { EndpointCatalog } from './endpointCatalog.js';
import { fitsLimit } from './placementLedger.js';
import { countFits, sizeKey } from './resourceMath.js';
import type { WaitingShape } from './waitingShape.js';

/** Size at which a cache of results is cleared. */
const MAX_CACHED_RESULTS = 10_000;

interface FleetResult {
  fleetVersion: number;
  message: string | undefined;
}

/**
 * Detects waiting work that could not run even on an empty fleet in which every endpoint has the
 * largest size that it had since its registration.
 */
export class FeasibilityChecker {
  private config: ClusterConfig | undefined;
  private readonly fleetResults = new Map<string, FleetResult>();
  private readonly sizeResults = new Map<string, { fleetVersion: number; fits: boolean }>();
  private startedAtMs: number | undefined;

  /**
   * @param graceMs - Time after the first scheduling cycle during which the fleet may be
   * incomplete because endpoints have not announced themselves yet.
   */
  constructor(
    private readonly catalog: EndpointCatalog,
    private readonly graceMs: number,
  ) {}

  configure(config: ClusterConfig): void {
    this.config = config;
    this.fleetResults.clear();
  }

  /** Starts the grace period at the first call and returns whether it is over. */
  isGracePeriodOver(nowMs: number): boolean {
    this.startedAtMs ??= nowMs;
    return nowMs - this.startedAtMs >= this.graceMs;
  }

  /**
   * Returns the reason why work of this shape can never run, or undefined if it might run.
   *
   * @param size - Size that would be reserved for each task.
   */
  explainInfeasibility(shape: WaitingShape, size: Resources, nowMs: number): string | undefined {
    return (
      this.explainLimit(shape, size) ??
      (this.isGracePeriodOver(nowMs) ? this.explainFleet(shape, size) : undefined)
    );
  }

  /** Returns whether a task of this size fits the team's limit and some endpoint when empty. */
  canEverFit(team: string, work: string, size: Resources): boolean {
    const teamConfig = this.config?.teams[team];
    if (teamConfig && !fitsLimit(teamConfig.limit, size, 1)) return false;
    const key = `${work}|${sizeKey(size)}`;
    const cached = this.sizeResults.get(key);
    if (cached?.fleetVersion === this.catalog.fleetVersion) return cached.fits;
    const fits = this.fitsSomeEndpoint(work, size);
    if (this.sizeResults.size > MAX_CACHED_RESULTS) this.sizeResults.clear();
    this.sizeResults.set(key, { fleetVersion: this.catalog.fleetVersion, fits });
    return fits;
  }

  private fitsSomeEndpoint(work: string, size: Resources): boolean {
    for (const record of this.catalog.list()) {
      if (record.works.has(work) && fitsInto(size, record.largestSize)) return true;
    }
    return false;
  }

  private explainLimit(shape: WaitingShape, size: Resources): string | undefined {
    const { team, count } = shape.properties;
    const teamConfig = this.config?.teams[team];
    if (!teamConfig) return `team ${team} is not configured`;
    if (fitsLimit(teamConfig.limit, size, count)) return undefined;
    const subject = count > 1 ? `a gang of ${count} tasks` : 'a task';
    return `${subject} of size ${sizeKey(size)} is larger than the upper limit of team ${team}`;
  }

  private explainFleet(shape: WaitingShape, size: Resources): string | undefined {
    const { fleetVersion } = this.catalog;
    const { work, count, excluded } = shape.properties;
    const key = `${work}|${sizeKey(size)}|${count}|${excluded.join(' ')}`;
    const cached = this.fleetResults.get(key);
    if (cached?.fleetVersion === fleetVersion) return cached.message;
    const message = this.searchFleet(shape, size);
    if (this.fleetResults.size > MAX_CACHED_RESULTS) this.fleetResults.clear();
    this.fleetResults.set(key, { fleetVersion, message });
    return message;
  }

  private searchFleet(shape: WaitingShape, size: Resources): string | undefined {
    const { work, count, excluded } = shape.properties;
    if (!this.catalog.isGranted(work)) return `no endpoint rule grants ${work} to any endpoint`;
    let offering = 0;
    let eligible = 0;
    let fits = 0;
    for (const record of this.catalog.list()) {
      if (!record.works.has(work)) continue;
      offering += 1;
      if (excluded.includes(record.view.id)) continue;
      eligible += 1;
      fits += countFits(size, record.largestSize);
    }
    // Endpoints that take this kind of work may still announce themselves.
    if (offering === 0) return undefined;
    if (eligible === 0) return `all ${offering} endpoints that take ${work} are excluded`;
    if (fits === 0) return `size ${sizeKey(size)} is larger than every endpoint that takes ${work}`;
    if (fits >= count) return undefined;
    return `a gang of ${count} tasks is larger than the fleet, which fits ${fits} of them`;
  }
}
