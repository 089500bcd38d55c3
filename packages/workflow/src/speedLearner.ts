import { MovingAverage } from './movingAverage.js';

/** Bounds of what one observation can say, against outliers. */
const MIN_RATIO = 0.1;
const MAX_RATIO = 10;

/** Estimates shorter than this say little about a duration. */
const MIN_ESTIMATE_MS = 10;

/**
 * Learns how long tasks take compared with their estimates: per kind of endpoint, and per
 * endpoint relative to its kind, so that one that has become slow is noticed.
 */
export class SpeedLearner {
  private readonly kinds = new Map<string, MovingAverage>();
  private readonly endpoints = new Map<string, MovingAverage>();

  /** Takes up a run that ended well. */
  record(endpoint: string, kind: string, estimateMs: number, actualMs: number): void {
    if (estimateMs < MIN_ESTIMATE_MS) return;
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, actualMs / estimateMs));
    const ofKind = this.ratioOf(this.kinds, kind);
    this.ratioOf(this.endpoints, endpoint).add(ratio / ofKind.value);
    ofKind.add(ratio);
  }

  /** Usual duration on a kind of endpoint as a multiple of the estimate. */
  kindFactor(kind: string): number {
    return this.kinds.get(kind)?.value ?? 1;
  }

  /** Expected duration on an endpoint as a multiple of the estimate. */
  factor(endpoint: string, kind: string): number {
    return this.kindFactor(kind) * this.slowness(endpoint);
  }

  /** Expected duration on an endpoint relative to others of its kind; never below 1. */
  slowness(endpoint: string): number {
    return Math.max(1, this.endpoints.get(endpoint)?.value ?? 1);
  }

  private ratioOf(ratios: Map<string, MovingAverage>, key: string): MovingAverage {
    let ratio = ratios.get(key);
    if (!ratio) {
      ratio = new MovingAverage(1);
      ratios.set(key, ratio);
    }
    return ratio;
  }
}
