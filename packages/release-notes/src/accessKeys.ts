import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

import { hashText } from './canonicalJson.js';

/** Start of every secret, by which logs recognise and redact it. */
export const SECRET_PREFIX = 'lgk_';

const SECRET_PATTERN = /lgk_[\w-]+/g;

/** Random bytes in a secret. */
const SECRET_BYTES = 32;

/** Random bytes in the identifier of a key. */
const ID_BYTES = 6;

/** A new key; the secret is shown to its holder once and stored nowhere. */
export interface CreatedKey {
  id: string;
  secret: string;
  /** SHA-256 of the secret, for the release note. */
  hash: string;
}

/** Returns the hash under which a secret is stored. */
export function hashKey(secret: string): string {
  return hashText(secret);
}

/** Creates a random key. */
export function createKey(): CreatedKey {
  const secret = SECRET_PREFIX + randomBytes(SECRET_BYTES).toString('base64url');
  return { id: `key-${randomBytes(ID_BYTES).toString('hex')}`, secret, hash: hashKey(secret) };
}

/** Removes secrets of keys from a text, for instance from a fault that quotes its input. */
export function redactSecrets(text: string): string {
  return text.replace(SECRET_PATTERN, `${SECRET_PREFIX}[redacted]`);
}

/** Compares two texts in a time that does not depend on where they differ. */
export function isEqualConstantTime(a: string, b: string): boolean {
  // Digests have equal lengths, which the comparison requires.
  const digestA = createHash('sha256').update(a, 'utf8').digest();
  const digestB = createHash('sha256').update(b, 'utf8').digest();
  return timingSafeEqual(digestA, digestB);
}
