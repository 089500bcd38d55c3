import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

import { hashText } from './canonicalJson.js';

/** Prefix of every secret, by which secrets are recognised and redacted in logs. */
export const SECRET_PREFIX = 'lgk_';

const SECRET_PATTERN = /lgk_[\w-]+/g;

const SECRET_BYTES = 32;

const KEY_ID_BYTES = 6;

/** A new key. The secret is shown once, to the user who creates the key, and never stored. */
export interface CreatedKey {
  id: string;
  secret: string;
  /** SHA-256 of the secret, which goes into the release note. */
  hash: string;
}

/** Returns the hash under which a secret is stored. */
export function hashKey(secret: string): string {
  return hashText(secret);
}

/** Creates a key with a random identifier and secret. */
export function createKey(): CreatedKey {
  const secret = SECRET_PREFIX + randomBytes(SECRET_BYTES).toString('base64url');
  return { id: `key-${randomBytes(KEY_ID_BYTES).toString('hex')}`, secret, hash: hashKey(secret) };
}

/** Redacts key secrets in a text, such as an error message that quotes its input. */
export function redactSecrets(text: string): string {
  return text.replace(SECRET_PATTERN, `${SECRET_PREFIX}[redacted]`);
}

/** Compares two strings in constant time, regardless of where they differ. */
export function isEqualConstantTime(a: string, b: string): boolean {
  // `timingSafeEqual` requires buffers of equal length, which digests are.
  const digestA = createHash('sha256').update(a, 'utf8').digest();
  const digestB = createHash('sha256').update(b, 'utf8').digest();
  return timingSafeEqual(digestA, digestB);
}
