import { createHash } from 'node:crypto';

/**
 * Serialises plain data as JSON with sorted keys and without whitespace, so that equal data has an
 * equal encoding. Properties that are `undefined` are omitted.
 */
export function encodeCanonicalJson(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(encodeCanonicalJson).join(',')}]`;
  if (typeof value === 'object' && value !== null) {
    const record = value as Record<string, unknown>;
    const parts: string[] = [];
    for (const key of Object.keys(record).sort()) {
      if (record[key] === undefined) continue;
      parts.push(`${JSON.stringify(key)}:${encodeCanonicalJson(record[key])}`);
    }
    return `{${parts.join(',')}}`;
  }
  return JSON.stringify(value) ?? 'null';
}

/** Returns the SHA-256 of a string as 64 lower-case hexadecimal digits. */
export function hashText(text: string): string {
  return createHash('sha256').update(text, 'utf8').digest('hex');
}
