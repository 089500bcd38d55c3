import { FailureAttribution } from './failureAttribution.js';
import { HealthListeners } from './healthListeners.js';
import type { AttemptRef, HealthListener, HealthPolicy } from './healthPolicy.js';

/** Duration of the first penalty, in milliseconds; doubles with each further failure. */
const FIRST_PENALTY_MS = 30_000;

/** Maximum duration of a penalty, in milliseconds. */
const MAX_PENALTY_MS = 300_000;

/** Time after the last failure for which failures are kept, in milliseconds. */
const FAILURE_RETENTION_MS = 600_000;

/** Maximum number of failures that are kept; further ones do not lengthen the penalty. */
const MAX_COUNTED_FAILURES = 8;

/** Number of other units that must fail on an endpoint to make it suspect. */
const SUSPECT_FAILURES = 3;

interface PenalizedEndpoint {
  failures: { unitId: string; atMs: number }[];
  timer?: NodeJS.Timeout;
}

/** Penalizes endpoints that failed recently, so that they are used last; never ejects one. */
export class PenalizingHealthPolicy implements HealthPolicy {
  private readonly endpoints = new Map<string, PenalizedEndpoint>();
  private readonly attribution = new FailureAttribution();
  private readonly listeners = new HealthListeners();

  setEndpoint(endpointId: string): void {
    if (!this.endpoints.has(endpointId)) this.endpoints.set(endpointId, { failures: [] });
  }

  removeEndpoint(endpointId: string): void {
    clearTimeout(this.endpoints.get(endpointId)?.timer);
    this.endpoints.delete(endpointId);
    this.listeners.removeEndpoint(endpointId);
  }

  recordStart(): void {}

  recordSuccess({ unitId, endpointId }: AttemptRef): void {
    this.attribution.recordSuccess(unitId, endpointId);
  }

  recordFailure({ unitId, endpointId }: AttemptRef): void {
    const endpoint = this.endpoints.get(endpointId);
    if (endpoint === undefined) return;
    const verdict = this.attribution.recordFailure(unitId, endpointId, (id) =>
      this.isSuspect(id, unitId),
    );
    for (const id of verdict.retractedFrom) this.retractFailure(id, unitId);
    if (!verdict.countsAgainstEndpoint) return;
    const atMs = performance.now();
    const lastMs = endpoint.failures[endpoint.failures.length - 1]?.atMs ?? -Infinity;
    if (atMs - lastMs >= FAILURE_RETENTION_MS) endpoint.failures = [];
    endpoint.failures.push({ unitId, atMs });
    if (endpoint.failures.length > MAX_COUNTED_FAILURES) endpoint.failures.shift();
    this.notifyListeners(endpointId, endpoint);
  }

  recordAbandoned(): void {}

  requestTrial(): void {}

  isEjected(): boolean {
    return false;
  }

  isPenalized(endpointId: string): boolean {
    const endpoint = this.endpoints.get(endpointId);
    return endpoint !== undefined && PenalizingHealthPolicy.computeRemainingMs(endpoint) > 0;
  }

  onChange(listener: HealthListener): () => void {
    return this.listeners.add(listener);
  }

  [Symbol.dispose](): void {
    for (const { timer } of this.endpoints.values()) clearTimeout(timer);
    this.endpoints.clear();
  }

  private isSuspect(endpointId: string, unitId: string): boolean {
    const failures = this.endpoints.get(endpointId)?.failures ?? [];
    const units = new Set(failures.map((failure) => failure.unitId));
    units.delete(unitId);
    return units.size >= SUSPECT_FAILURES;
  }

  private retractFailure(endpointId: string, unitId: string): void {
    const endpoint = this.endpoints.get(endpointId);
    if (endpoint === undefined) return;
    endpoint.failures = endpoint.failures.filter((failure) => failure.unitId !== unitId);
    this.notifyListeners(endpointId, endpoint);
  }

  private notifyListeners(endpointId: string, endpoint: PenalizedEndpoint): void {
    clearTimeout(endpoint.timer);
    const leftMs = PenalizingHealthPolicy.computeRemainingMs(endpoint);
    this.listeners.update({ endpointId, ejected: false, penalized: leftMs > 0 });
    if (leftMs > 0) {
      endpoint.timer = setTimeout(
        () => this.notifyListeners(endpointId, endpoint),
        Math.ceil(leftMs),
      );
    }
  }

  /** Returns the remaining time of the penalty in milliseconds; zero or less without a penalty. */
  private static computeRemainingMs({ failures }: PenalizedEndpoint): number {
    const last = failures[failures.length - 1];
    if (last === undefined) return 0;
    const penaltyMs = Math.min(MAX_PENALTY_MS, FIRST_PENALTY_MS * 2 ** (failures.length - 1));
    return last.atMs + penaltyMs - performance.now();
  }
}
