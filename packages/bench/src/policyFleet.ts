import type { EndpointView } from '@lagoongap/scheduling/scheduler.js';

import type { WorkMix } from './policyMixes.js';

const ENDPOINTS_PER_KIND = 30;
const DATA_CENTRES = ['a', 'b', 'c'];
const RACK_SIZE = 8;
/** Every third worker has accelerators. */
const ACCELERATED_EVERY = 3;

/** Creates 30 workers and 30 runners of different speeds, the size of each user's present fleet. */
export function createFleet(mix: WorkMix, random: () => number): EndpointView[] {
  const fleet: EndpointView[] = [];
  const works = (isRequest: boolean): string[] =>
    mix.streams.filter(({ kind }) => (kind === 'request') === isRequest).map(({ work }) => work);
  for (let i = 0; i < ENDPOINTS_PER_KIND; i++) {
    const common = {
      url: '',
      rack: `rack${Math.floor(i / RACK_SIZE)}`,
      dataCentre: DATA_CENTRES[i % DATA_CENTRES.length]!,
      state: 'ready',
      ejected: false,
    } as const;
    const accelerators = i % ACCELERATED_EVERY === 0 ? 6 : 0;
    fleet.push(
      {
        ...common,
        id: `worker${i}`,
        kind: 'worker',
        size: { cpuMillis: 32_000, memoryMib: 131_072, accelerators, slots: 0 },
        works: works(false),
        speed: 0.75 + random() / 2,
        capabilities: ['checkpoint', 'throttle', 'stop'],
      },
      {
        ...common,
        id: `runner${i}`,
        kind: 'runner',
        size: { cpuMillis: 0, memoryMib: 0, accelerators: 0, slots: 8 },
        works: works(true),
        speed: 0.5 + random() * 1.5,
        capabilities: [],
      },
    );
  }
  return fleet;
}
