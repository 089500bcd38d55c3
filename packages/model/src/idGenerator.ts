import { randomBytes } from 'node:crypto';

const RANDOM_BYTES = 12;
const RANDOM_PATTERN = new RegExp(`^[0-9a-f]{${2 * RANDOM_BYTES}}$`);

/** Generates a random identifier such as `job-3f9c…`, which is unique without coordination. */
export function createId(prefix: string): string {
  return `${prefix}-${randomBytes(RANDOM_BYTES).toString('hex')}`;
}

/** Returns whether a text has the form of an identifier that {@link createId} generates. */
export function isId(prefix: string, text: string): boolean {
  const start = `${prefix}-`;
  return text.startsWith(start) && RANDOM_PATTERN.test(text.slice(start.length));
}
