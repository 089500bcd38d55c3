/** Separator between the instance id and the suffix of a replica id. */
const SEPARATOR = '/';

/** Replica id suffix of the initial voters. */
const BOOTSTRAP_SUFFIX = 'bootstrap';

/** Length of a random suffix in characters; with 36^10 values a collision is negligible. */
const SUFFIX_LENGTH = 10;

/** Radix of a random suffix. */
const SUFFIX_RADIX = 36;

/** Returns the instance id of a replica id. */
export function instanceIdOf(replicaId: string): string {
  const end = replicaId.lastIndexOf(SEPARATOR);
  return end < 0 ? replicaId : replicaId.slice(0, end);
}

/** Returns the replica id of an initial voter. */
export function bootstrapReplicaId(instanceId: string): string {
  return `${instanceId}${SEPARATOR}${BOOTSTRAP_SUFFIX}`;
}

/**
 * Creates a random replica id for an empty store.
 *
 * @param random - Returns numbers in [0, 1).
 */
export function createReplicaId(instanceId: string, random: () => number): string {
  let suffix = '';
  while (suffix.length < SUFFIX_LENGTH) {
    suffix += Math.floor(random() * SUFFIX_RADIX).toString(SUFFIX_RADIX);
  }
  return `${instanceId}${SEPARATOR}${suffix}`;
}
