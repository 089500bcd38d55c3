import { BaselineScheduler } from './baselineScheduler.js';
import type { BaselineEndpoint } from './baselineScheduler.js';

/** Baseline that takes work in arrival order and any endpoint that fits, at random. */
export class RandomScheduler extends BaselineScheduler {
  constructor(random: () => number = Math.random) {
    super(random);
  }

  protected override choose(
    endpoints: Iterable<BaselineEndpoint>,
    fits: (endpoint: BaselineEndpoint) => boolean,
  ): BaselineEndpoint | undefined {
    const candidates = [...endpoints].filter(fits);
    return candidates[Math.floor(this.random() * candidates.length)];
  }
}
