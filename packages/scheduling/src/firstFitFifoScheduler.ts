import { BaselineScheduler } from './baselineScheduler.js';
import type { BaselineEndpoint } from './baselineScheduler.js';

/** Baseline that places work in order of arrival on the first endpoint that fits. */
export class FirstFitFifoScheduler extends BaselineScheduler {
  constructor(random: () => number = Math.random) {
    super(random);
  }

  protected override choose(
    endpoints: Iterable<BaselineEndpoint>,
    fits: (endpoint: BaselineEndpoint) => boolean,
  ): BaselineEndpoint | undefined {
    for (const endpoint of endpoints) if (fits(endpoint)) return endpoint;
    return undefined;
  }
}
