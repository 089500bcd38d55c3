import type { LoadOptions } from '@lagoongap/stand-in/loadGenerator.js';
import { sendRequests } from '@lagoongap/stand-in/loadGenerator.js';

import type { CellWorld } from './cellWorld.js';

/** What differs between loads that run until they are told to stop. */
export type OpenLoadOptions = Pick<
  LoadOptions,
  'keys' | 'concurrency' | 'noRepeatEvery' | 'instruction' | 'markerPrefix'
> &
  Partial<Pick<LoadOptions, 'instances' | 'pickInstance'>> & {
    /** Answers that are awaited before the scenario goes on. */
    firstAnswers: number;
  };

/** Starts a load that ends when the world's `stopLoad` is called. */
export async function startOpenLoad(world: CellWorld, opts: OpenLoadOptions): Promise<void> {
  const { firstAnswers, ...load } = opts;
  let hasStopped = false;
  world.stopLoad = () => {
    hasStopped = true;
  };
  world.load = sendRequests({
    cell: world.cell!,
    instances: world.cell!.instanceIds,
    ...load,
    count: Number.MAX_SAFE_INTEGER,
    hasStopped: () => hasStopped,
    onEnded: (ended) => {
      world.ended = ended;
    },
  });
  await world.cell!.waitFor('the first answers', async () => world.ended >= firstAnswers);
}
