import { RefusalError } from '@lagoongap/model/refusalError.js';

import type { CellLimits } from './cellLimits.js';
import type { WaveRecord } from './workflowRecords.js';

/** Time after which a refused operator may retry; an open wave has to be completed first. */
const RETRY_AFTER_MS = 5000;

function refuse(message: string): never {
  throw new RefusalError({
    type: 'over-limit',
    runState: 'not-run',
    message,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function measureNames(instances: readonly string[]): number {
  return instances.reduce((sum, { length }) => sum + length, 0);
}

/**
 * Checks a new maintenance wave against what each replica can store; throws an `over-limit` refusal.
 * The instances of completed waves are not kept.
 */
export function admitWave(
  waves: ReadonlyMap<number, WaveRecord>,
  { maxWaves, maxWaveBytes }: CellLimits,
  instances: readonly string[],
): void {
  if (waves.size >= maxWaves) refuse(`there are ${waves.size} waves, which is the limit`);
  let bytes = measureNames(instances);
  for (const wave of waves.values()) if (!wave.isCompleted) bytes += measureNames(wave.instances);
  if (bytes > maxWaveBytes) refuse('the open waves name too many instances');
}
