import type { LoadOptions } from '@lagoongap/stand-in/loadGenerator.js';
import { sendRequests } from '@lagoongap/stand-in/loadGenerator.js';

import type { CellWorld } from './cellWorld.js';

/** Options of {@link startContinuousLoad}. */
export type ContinuousLoadOptions = Pick<
  LoadOptions,
  'keys' | 'concurrency' | 'noRepeatEvery' | 'instruction' | 'markerPrefix'
> &
  Partial<Pick<LoadOptions, 'instances' | 'pickInstance'>> & {
    /** Number of responses to wait for before the scenario continues. */
    initialResponses: number;
  };

/** Starts a load that runs until the world's `stopLoad` is called. */
export async function startContinuousLoad(
  world: CellWorld,
  opts: ContinuousLoadOptions,
): Promise<void> {
  const { initialResponses, ...load } = opts;
  let hasStopped = false;
  world.stopLoad = () => {
    hasStopped = true;
  };
  world.load = sendRequests({
    cell: world.cell!,
    instances: world.cell!.instanceIds,
    ...load,
    count: Number.MAX_SAFE_INTEGER,
    shouldStop: () => hasStopped,
    onEnded: (ended) => {
      world.ended = ended;
    },
  });
  await world.cell!.waitFor('the first responses', async () => world.ended >= initialResponses);
}
