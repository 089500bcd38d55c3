import type { Resources } from '@lagoongap/model/resources.js';
import type { Attempt, WorkUnit } from '@lagoongap/model/workload.js';

/** Source of random numbers from 0 up to, but not including, 1. */
export type RandomSource = () => number;

const SUFFIX_RANGE = 2 ** 32;

/**
 * Creates an attempt to run one task of a unit. The random suffix of its identifier prevents
 * collisions between attempts of successive leaders.
 */
export function createAttempt(
  unit: WorkUnit,
  taskIndex: number,
  endpointId: string,
  size: Resources,
  random: RandomSource,
): Attempt {
  const suffix = Math.floor(random() * SUFFIX_RANGE).toString(36);
  return {
    id: `${unit.id}.${taskIndex}.${suffix}`,
    unitId: unit.id,
    kind: unit.kind,
    taskIndex,
    team: unit.team,
    queue: unit.queue,
    work: unit.work,
    priority: unit.priority,
    endpointId,
    size: { ...size },
    declared: { ...unit.size },
  };
}
