import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { CancellationScope } from '@lagoongap/state/commands.js';
import type { JobRecord } from '@lagoongap/state/records.js';

/** Returns whether a caller may see and cancel a job. */
export function isVisible(
  { config }: ClusterState,
  job: JobRecord | undefined,
  keyId: string | undefined,
): boolean {
  if (!job) return false;
  const key = keyId === undefined ? undefined : config.keys[keyId];
  // Jobs of open queues are visible without a key: their ids cannot be guessed.
  if (!key) return keyId === undefined && config.queues[job.spec.queue]?.open === true;
  return key.role === 'operator' || key.team === job.team;
}

/** Returns the jobs that a caller may cancel; refuses a key that has been withdrawn. */
export function readCancellationScope(
  { config }: ClusterState,
  keyId: string | undefined,
): CancellationScope {
  if (keyId === undefined) return { scope: 'open-queues' };
  const key = config.keys[keyId];
  if (!key) {
    throw new RefusalError({
      type: 'unauthenticated',
      runState: 'not-run',
      message: `the key ${keyId} is not known`,
    });
  }
  return key.role === 'operator' ? { scope: 'any' } : { scope: 'team', team: key.team };
}
