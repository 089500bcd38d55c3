import { randomBytes } from 'node:crypto';

const RANDOM_BYTES = 12;

/** Generates a random identifier such as `job-3f9c…`, which is unique without coordination. */
export function createId(prefix: string): string {
  return `${prefix}-${randomBytes(RANDOM_BYTES).toString('hex')}`;
}
