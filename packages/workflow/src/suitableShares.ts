import { MovingAverage } from './movingAverage.js';

/** Share of suitable endpoints assumed before the first response. */
const INITIAL_SUITABLE_SHARE = 0.5;

/** Averages the share of suitable endpoints by queue. */
export class SuitableShares {
  private readonly shares = new Map<string, MovingAverage>();

  /** Returns the average of a queue. */
  of(queue: string): MovingAverage {
    let share = this.shares.get(queue);
    if (!share) {
      share = new MovingAverage(INITIAL_SUITABLE_SHARE);
      this.shares.set(queue, share);
    }
    return share;
  }
}
