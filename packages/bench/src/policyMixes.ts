import type { Resources } from '@lagoongap/model/resources.js';
import type { WorkloadKind } from '@lagoongap/model/workload.js';

/** Stream of units of one kind of work. */
export interface WorkStream {
  kind: WorkloadKind;
  work: string;
  priority: number;
  /** Units per second, summed over all teams. */
  perSecond: number;
  /** Mean run time at speed 1, in milliseconds; run times are exponentially distributed. */
  meanMs: number;
  /** Minimum and maximum number of tasks per unit. */
  tasks: readonly [number, number];
  sizes: readonly Resources[];
  /** Units that the first team submits in one burst, at the start and halfway through the run. */
  wave: number;
}

/** Workload of one user. */
export interface WorkMix {
  name: string;
  /** Weight of each team. */
  shares: readonly number[];
  /** Share of the arrivals that belongs to each team. */
  arrivals: readonly number[];
  streams: readonly WorkStream[];
}

function cores(count: number, gib: number, accelerators = 0): Resources {
  return { cpuMillis: count * 1000, memoryMib: gib * 1024, accelerators, slots: 0 };
}

const SLOT: Resources = { cpuMillis: 0, memoryMib: 0, accelerators: 0, slots: 1 };

// Both mixes demand slightly more CPU time than the workers provide, so that shares take effect.
export const WORK_MIXES: readonly WorkMix[] = [
  {
    name: 'Thermometra',
    shares: [4, 3, 2, 1, 1, 1],
    arrivals: [0.4, 0.1, 0.2, 0.1, 0.1, 0.1],
    streams: [
      {
        kind: 'request',
        work: 'certificates',
        priority: 500,
        perSecond: 20,
        meanMs: 8_000,
        tasks: [1, 1],
        sizes: [SLOT],
        wave: 0,
      },
      {
        kind: 'batch',
        work: 'recomputations',
        priority: 100,
        perSecond: 0.9,
        meanMs: 120_000,
        tasks: [1, 4],
        sizes: [cores(1, 2), cores(2, 4), cores(1, 12), cores(8, 16), cores(2, 8, 1)],
        wave: 400,
      },
      {
        kind: 'service',
        work: 'indexing',
        priority: 100,
        perSecond: 0.02,
        meanMs: 1_800_000,
        tasks: [2, 6],
        sizes: [cores(1, 4), cores(2, 2)],
        wave: 0,
      },
    ],
  },
  {
    name: 'Plintex',
    shares: [4, 3, 2, 1, 1, 1],
    arrivals: [0.4, 0.1, 0.2, 0.1, 0.1, 0.1],
    streams: [
      {
        kind: 'request',
        work: 'previews',
        priority: 500,
        perSecond: 40,
        meanMs: 4_000,
        tasks: [1, 1],
        sizes: [SLOT],
        wave: 0,
      },
      {
        kind: 'gang',
        work: 'plans',
        priority: 200,
        perSecond: 0.5,
        meanMs: 90_000,
        tasks: [2, 10],
        sizes: [cores(2, 4), cores(2, 12), cores(4, 4)],
        wave: 60,
      },
      {
        kind: 'service',
        work: 'watchers',
        priority: 100,
        perSecond: 0.03,
        meanMs: 1_800_000,
        tasks: [1, 3],
        sizes: [cores(1, 4), cores(2, 2)],
        wave: 0,
      },
    ],
  },
];
