import { BaselineScheduler } from './baselineScheduler.js';
import type { BaselineEndpoint } from './baselineScheduler.js';

/** Baseline that places work in order of arrival on a random endpoint that fits. */
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
