import { randomBytes } from 'node:crypto';

const RANDOM_BYTES = 12;

/** Returns a new identifier such as `job-3f9c…`, unique without coordination. */
export function createId(prefix: string): string {
  return `${prefix}-${randomBytes(RANDOM_BYTES).toString('hex')}`;
}
