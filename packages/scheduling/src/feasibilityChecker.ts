import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { fitsInto } from '@lagoongap/model/resources.js';
import type { Resources } from '@lagoongap/model/resources.js';

import type { EndpointCatalog } from './endpointCatalog.js';
import { fitsLimit } from './placementLedger.js';
import { countFits, sizeKey } from './resourceMath.js';
import type { WaitingShape } from './waitingShape.js';

/** Answers that are kept before all are dropped. */
const MAX_ANSWERS = 10_000;

interface FleetAnswer {
  fleetVersion: number;
  message: string | undefined;
}

/** Finds waiting work that no endpoint could ever take, even when empty. */
export class FeasibilityChecker {
  private config: ClusterConfig | undefined;
  private readonly fleetAnswers = new Map<string, FleetAnswer>();
  private readonly sizeAnswers = new Map<string, { fleetVersion: number; fits: boolean }>();
  private startedAtMs: number | undefined;

  /**
   * @param graceMs - Time from the first decision during which the fleet may be
   * incomplete because endpoints have not announced themselves yet.
   */
  constructor(
    private readonly catalog: EndpointCatalog,
    private readonly graceMs: number,
  ) {}

  configure(config: ClusterConfig): void {
    this.config = config;
    this.fleetAnswers.clear();
  }

  /** Starts the grace period at the first call; tells whether it is over. */
  isSettled(nowMs: number): boolean {
    this.startedAtMs ??= nowMs;
    return nowMs - this.startedAtMs >= this.graceMs;
  }

  /**
   * Returns why work of this shape can never run, or undefined if it might.
   *
   * @param size - Size that would be reserved for each task.
   */
  explain(shape: WaitingShape, size: Resources, nowMs: number): string | undefined {
    return (
      this.explainLimit(shape, size) ??
      (this.isSettled(nowMs) ? this.explainFleet(shape, size) : undefined)
    );
  }

  /** Tells whether some endpoint, when empty, and the team's limit admit a task of this size. */
  admits(team: string, work: string, size: Resources): boolean {
    const found = this.config?.teams[team];
    if (found && !fitsLimit(found.limit, size, 1)) return false;
    const key = `${work}|${sizeKey(size)}`;
    const known = this.sizeAnswers.get(key);
    if (known?.fleetVersion === this.catalog.fleetVersion) return known.fits;
    const fits = this.fitsSomeEndpoint(work, size);
    if (this.sizeAnswers.size > MAX_ANSWERS) this.sizeAnswers.clear();
    this.sizeAnswers.set(key, { fleetVersion: this.catalog.fleetVersion, fits });
    return fits;
  }

  private fitsSomeEndpoint(work: string, size: Resources): boolean {
    for (const record of this.catalog.list()) {
      if (record.works.has(work) && fitsInto(size, record.view.size)) return true;
    }
    return false;
  }

  private explainLimit(shape: WaitingShape, size: Resources): string | undefined {
    const { team, count } = shape.properties;
    const found = this.config?.teams[team];
    if (!found) return `team ${team} is not configured`;
    if (fitsLimit(found.limit, size, count)) return undefined;
    const what = count > 1 ? `a gang of ${count} tasks` : 'a task';
    return `${what} of size ${sizeKey(size)} is larger than the upper limit of team ${team}`;
  }

  private explainFleet(shape: WaitingShape, size: Resources): string | undefined {
    const { fleetVersion } = this.catalog;
    const { work, count, excluded } = shape.properties;
    const key = `${work}|${sizeKey(size)}|${count}|${excluded.join(' ')}`;
    const known = this.fleetAnswers.get(key);
    if (known?.fleetVersion === fleetVersion) return known.message;
    const message = this.searchFleet(shape, size);
    if (this.fleetAnswers.size > MAX_ANSWERS) this.fleetAnswers.clear();
    this.fleetAnswers.set(key, { fleetVersion, message });
    return message;
  }

  private searchFleet(shape: WaitingShape, size: Resources): string | undefined {
    const { work, count, excluded } = shape.properties;
    if (!this.catalog.isGranted(work)) return `no endpoint rule grants ${work} to any endpoint`;
    let offered = 0;
    let open = 0;
    let fits = 0;
    for (const record of this.catalog.list()) {
      if (!record.works.has(work)) continue;
      offered += 1;
      if (excluded.includes(record.view.id)) continue;
      open += 1;
      fits += countFits(size, record.view.size);
    }
    // Endpoints that take this kind of work may still be on their way.
    if (offered === 0) return undefined;
    if (open === 0) return `all ${offered} endpoints that take ${work} are excluded`;
    if (fits === 0) return `size ${sizeKey(size)} is larger than every endpoint that takes ${work}`;
    if (fits >= count) return undefined;
    return `a gang of ${count} tasks is larger than the fleet, which fits ${fits} of them`;
  }
}
