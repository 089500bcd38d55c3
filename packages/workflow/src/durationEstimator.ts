import { MovingAverage } from './movingAverage.js';

/** Bounds for the ratio of a single observation, against outliers. */
const MIN_RATIO = 0.1;
const MAX_RATIO = 10;

/** Observations with shorter estimates are ignored as too imprecise. */
const MIN_ESTIMATE_MS = 10;

/**
 * Estimates task durations relative to the submitted estimates: per kind of endpoint, and per
 * endpoint relative to its kind, so that an endpoint that has become slow is detected.
 */
export class DurationEstimator {
  private readonly kinds = new Map<string, MovingAverage>();
  private readonly endpoints = new Map<string, MovingAverage>();

  /** Records a successful run. */
  record(endpoint: string, kind: string, estimateMs: number, actualMs: number): void {
    if (estimateMs < MIN_ESTIMATE_MS) return;
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, actualMs / estimateMs));
    const kindRatio = this.getOrCreateAverage(this.kinds, kind);
    this.getOrCreateAverage(this.endpoints, endpoint).add(ratio / kindRatio.value);
    kindRatio.add(ratio);
  }

  /** Returns the average duration on a kind of endpoint as a multiple of the estimate. */
  kindFactor(kind: string): number {
    return this.kinds.get(kind)?.value ?? 1;
  }

  /** Returns the expected duration on an endpoint as a multiple of the estimate. */
  durationFactor(endpoint: string, kind: string): number {
    return this.kindFactor(kind) * this.slowdown(endpoint);
  }

  /** Returns the expected duration on an endpoint relative to its kind; at least 1. */
  slowdown(endpoint: string): number {
    return Math.max(1, this.endpoints.get(endpoint)?.value ?? 1);
  }

  private getOrCreateAverage(ratios: Map<string, MovingAverage>, key: string): MovingAverage {
    let ratio = ratios.get(key);
    if (!ratio) {
      ratio = new MovingAverage(1);
      ratios.set(key, ratio);
    }
    return ratio;
  }
}
