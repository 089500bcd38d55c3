import { EndpointHealth, type EndpointHealthState } from './endpointHealth.js';
import { FailureAttribution } from './failureAttribution.js';
import { HealthListeners } from './healthListeners.js';
import type { AttemptRef, HealthListener, HealthPolicy } from './healthPolicy.js';

/** Change of the state of an endpoint under an {@link EjectingHealthPolicy}. */
export interface HealthTransition {
  endpointId: string;
  state: EndpointHealthState;
  /** Number of different units that have failed since the last success. */
  failures: number;
  /** Attempt that is the trial. */
  trial?: string;
  /** Longest time until the next transition in milliseconds; absent if there need not be one. */
  withinMs?: number;
}

/** Settings of an {@link EjectingHealthPolicy}; all times in milliseconds. */
export interface EjectionOptions {
  /** Number of different units that fail in a row before an endpoint is ejected. */
  failureThreshold: number;
  firstProbationMs: number;
  /** Upper limit of the doubling probation, without jitter. */
  maxProbationMs: number;
  /** Maximum share of the endpoints of one kind of work that is ejected at a time. */
  maxEjectedShare: number;
  /** Time without an ejection after which the probation is reset to its first length. */
  resetAfterMs: number;
  /** Shortest time after which a trial that has not ended counts as successful. */
  minTrialMs: number;
  /** Longest time after which a trial that has not ended counts as successful. */
  maxTrialMs: number;
  /** Source of jitter, in [0, 1). */
  random: () => number;
  /** Called with each change of state, for logs. */
  onTransition: (transition: HealthTransition) => void;
}

/** Default settings. */
export const DEFAULT_EJECTION_OPTIONS: Readonly<EjectionOptions> = Object.freeze({
  failureThreshold: 3,
  firstProbationMs: 5000,
  maxProbationMs: 300_000,
  maxEjectedShare: 0.3,
  resetAfterMs: 600_000,
  minTrialMs: 2000,
  maxTrialMs: 60_000,
  random: Math.random,
  onTransition: () => undefined,
});

/** Ratio of the time that a trial has to last to the time after which earlier attempts failed. */
const TRIAL_LENGTH_RATIO = 2;

/**
 * Ejects endpoints on which different units fail in a row. After the probation, one attempt at a
 * time is placed as a trial. A trial that may last long, such as a service, is successful once it
 * has clearly outlived the attempts that failed. When the maximum share of ejected endpoints is
 * reached, a failing endpoint is penalized instead.
 */
export class EjectingHealthPolicy implements HealthPolicy {
  private readonly opts: EjectionOptions;
  private readonly endpoints = new Map<string, EndpointHealth>();
  private readonly endpointsByWork = new Map<string, Set<EndpointHealth>>();
  private readonly attribution = new FailureAttribution();
  private readonly listeners = new HealthListeners();

  constructor(opts: Partial<EjectionOptions> = {}) {
    this.opts = { ...DEFAULT_EJECTION_OPTIONS, ...opts };
  }

  setEndpoint(endpointId: string, works: readonly string[]): void {
    const endpoint = this.endpoints.get(endpointId) ?? new EndpointHealth(endpointId);
    this.endpoints.set(endpointId, endpoint);
    const removedWorks = endpoint.works.filter((work) => !works.includes(work));
    for (const work of removedWorks) this.removeFromWork(work, endpoint);
    endpoint.works = [...works];
    for (const work of works) this.addToWork(work, endpoint);
    for (const work of [...removedWorks, ...works]) this.enforceBound(work);
  }

  removeEndpoint(endpointId: string): void {
    const endpoint = this.endpoints.get(endpointId);
    if (endpoint === undefined) return;
    endpoint.stopTimer();
    this.endpoints.delete(endpointId);
    this.listeners.removeEndpoint(endpointId);
    for (const work of endpoint.works) this.removeFromWork(work, endpoint);
    for (const work of endpoint.works) this.enforceBound(work);
  }

  recordStart({ endpointId, attemptId }: AttemptRef): void {
    const endpoint = this.endpoints.get(endpointId);
    if (endpoint === undefined) return;
    const startedMs = endpoint.beginAttempt(attemptId);
    if (endpoint.state !== 'awaiting-trial') return;
    endpoint.state = 'on-trial';
    endpoint.trialAttempt = attemptId;
    endpoint.trialStartedMs = startedMs;
    const trialMs = this.chooseTrialMs(endpoint);
    endpoint.timer = setTimeout(() => this.reinstate(endpoint), trialMs);
    this.reportTransition(endpoint, trialMs);
    this.notifyListeners(endpoint);
  }

  recordSuccess({ endpointId, attemptId, unitId }: AttemptRef): void {
    this.attribution.recordSuccess(unitId, endpointId);
    const endpoint = this.endpoints.get(endpointId);
    if (endpoint === undefined) return;
    const startedMs = endpoint.endAttempt(attemptId) ?? -Infinity;
    // Others may have been placed in the same scheduling cycle as the trial.
    const isOfTrial = endpoint.state === 'on-trial' && startedMs >= endpoint.trialStartedMs;
    if (endpoint.state === 'good') {
      endpoint.clearFailures();
      this.notifyListeners(endpoint);
    } else if (isOfTrial) this.reinstate(endpoint);
  }

  recordFailure({ endpointId, attemptId, unitId }: AttemptRef): void {
    const endpoint = this.endpoints.get(endpointId);
    if (endpoint === undefined) return;
    const nowMs = performance.now();
    const ranMs = nowMs - (endpoint.endAttempt(attemptId) ?? nowMs);
    const verdict = this.attribution.recordFailure(unitId, endpointId, (id) =>
      this.isSuspect(id, unitId),
    );
    for (const id of verdict.retractedFrom) this.retractFailure(id, unitId);
    const isTrial = endpoint.trialAttempt === attemptId;
    if (!verdict.countsAgainstEndpoint) {
      if (isTrial) this.awaitTrial(endpoint);
      return;
    }
    if (isTrial) {
      endpoint.addFailure(unitId, ranMs);
      this.eject(endpoint);
    } else if (endpoint.state === 'good') {
      endpoint.addFailure(unitId, ranMs);
      if (endpoint.failureCount >= this.opts.failureThreshold && this.mayEject(endpoint)) {
        this.eject(endpoint);
      }
      this.notifyListeners(endpoint);
    }
  }

  recordAbandoned({ endpointId, attemptId }: AttemptRef): void {
    const endpoint = this.endpoints.get(endpointId);
    endpoint?.endAttempt(attemptId);
    if (endpoint?.trialAttempt === attemptId) this.awaitTrial(endpoint);
  }

  requestTrial(endpointId: string): void {
    const endpoint = this.endpoints.get(endpointId);
    if (endpoint?.state !== 'ejected') return;
    const ejectedForMs = performance.now() - endpoint.ejectedAtMs;
    if (ejectedForMs >= this.opts.firstProbationMs) this.awaitTrial(endpoint);
  }

  isEjected(endpointId: string): boolean {
    return this.endpoints.get(endpointId)?.isEjected ?? false;
  }

  isPenalized(endpointId: string): boolean {
    const endpoint = this.endpoints.get(endpointId);
    return endpoint?.state === 'good' && endpoint.failureCount >= this.opts.failureThreshold;
  }

  onChange(listener: HealthListener): () => void {
    return this.listeners.add(listener);
  }

  [Symbol.dispose](): void {
    for (const endpoint of this.endpoints.values()) endpoint.stopTimer();
    this.endpoints.clear();
    this.endpointsByWork.clear();
  }

  private eject(endpoint: EndpointHealth): void {
    const { firstProbationMs, maxProbationMs, resetAfterMs, random } = this.opts;
    const isResetDue = performance.now() - endpoint.goodSinceMs >= resetAfterMs;
    if (endpoint.state === 'good' && isResetDue) endpoint.ejections = 0;
    const probationMs = Math.min(maxProbationMs, firstProbationMs * 2 ** endpoint.ejections);
    // The added jitter prevents endpoints that failed together from being tried together.
    const jitteredMs = probationMs * (1 + random());
    endpoint.ejections += 1;
    endpoint.state = 'ejected';
    endpoint.trialAttempt = undefined;
    endpoint.ejectedAtMs = performance.now();
    endpoint.probationEndsAtMs = endpoint.ejectedAtMs + jitteredMs;
    endpoint.stopTimer();
    endpoint.timer = setTimeout(() => this.awaitTrial(endpoint), jitteredMs);
    this.reportTransition(endpoint, jitteredMs);
    this.notifyListeners(endpoint);
  }

  private chooseTrialMs({ longestFailureMs }: EndpointHealth): number {
    const { minTrialMs, maxTrialMs } = this.opts;
    return Math.min(maxTrialMs, Math.max(minTrialMs, longestFailureMs * TRIAL_LENGTH_RATIO));
  }

  private awaitTrial(endpoint: EndpointHealth): void {
    endpoint.stopTimer();
    endpoint.state = 'awaiting-trial';
    endpoint.trialAttempt = undefined;
    this.reportTransition(endpoint);
    this.notifyListeners(endpoint);
  }

  private reinstate(endpoint: EndpointHealth): void {
    endpoint.stopTimer();
    endpoint.state = 'good';
    endpoint.trialAttempt = undefined;
    endpoint.goodSinceMs = performance.now();
    endpoint.clearFailures();
    this.reportTransition(endpoint);
    this.notifyListeners(endpoint);
  }

  private retractFailure(endpointId: string, unitId: string): void {
    const endpoint = this.endpoints.get(endpointId);
    if (endpoint === undefined || !endpoint.removeFailure(unitId)) return;
    if (endpoint.state !== 'good' && endpoint.failureCount < this.opts.failureThreshold) {
      endpoint.ejections = Math.max(0, endpoint.ejections - 1);
      this.reinstate(endpoint);
    } else this.notifyListeners(endpoint);
  }

  private isSuspect(endpointId: string, unitId: string): boolean {
    const endpoint = this.endpoints.get(endpointId);
    return (
      endpoint !== undefined && endpoint.countOtherFailures(unitId) >= this.opts.failureThreshold
    );
  }

  private mayEject(endpoint: EndpointHealth): boolean {
    return endpoint.works.every(
      (work) => this.countUnhealthy(work) + 1 <= this.countMaxEjected(work),
    );
  }

  private countMaxEjected(work: string): number {
    return Math.floor((this.endpointsByWork.get(work)?.size ?? 0) * this.opts.maxEjectedShare);
  }

  private countUnhealthy(work: string): number {
    let count = 0;
    for (const endpoint of this.endpointsByWork.get(work) ?? []) {
      if (endpoint.state !== 'good') count += 1;
    }
    return count;
  }

  /** Reinstates endpoints if more than the maximum share of the remaining ones is ejected. */
  private enforceBound(work: string): void {
    const unhealthy = [...(this.endpointsByWork.get(work) ?? [])]
      .filter(({ state }) => state !== 'good')
      .sort((a, b) => a.probationEndsAtMs - b.probationEndsAtMs);
    const excess = unhealthy.length - this.countMaxEjected(work);
    for (const endpoint of unhealthy.slice(0, Math.max(0, excess))) this.reinstate(endpoint);
  }

  private addToWork(work: string, endpoint: EndpointHealth): void {
    const peers = this.endpointsByWork.get(work) ?? new Set();
    this.endpointsByWork.set(work, peers.add(endpoint));
  }

  private removeFromWork(work: string, endpoint: EndpointHealth): void {
    const peers = this.endpointsByWork.get(work);
    peers?.delete(endpoint);
    if (peers?.size === 0) this.endpointsByWork.delete(work);
  }

  private reportTransition(endpoint: EndpointHealth, withinMs?: number): void {
    const { id: endpointId, state, failureCount: failures, trialAttempt: trial } = endpoint;
    this.opts.onTransition({ endpointId, state, failures, trial, withinMs });
  }

  private notifyListeners(endpoint: EndpointHealth): void {
    this.listeners.update({
      endpointId: endpoint.id,
      ejected: endpoint.isEjected,
      penalized: this.isPenalized(endpoint.id),
    });
  }
}
