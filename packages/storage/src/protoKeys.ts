/** Name that the codec does not keep as the key of an object. */
const RENAMED_KEY = '__proto__';

/** Mark in front of such keys in stored data; a key that has it already gets one more. */
const ESCAPE = '~';

const ESCAPABLE = /^~*__proto__$/;
const ESCAPED = /^~+__proto__$/;

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !ArrayBuffer.isView(value);
}

function mapKeys(value: unknown, map: (key: string) => string): unknown {
  if (Array.isArray(value)) return value.map((item) => mapKeys(item, map));
  if (!isObject(value)) return value;
  const mapped: Record<string, unknown> = {};
  for (const key of Object.keys(value)) {
    // An assignment to this key would replace the prototype.
    Object.defineProperty(mapped, map(key), {
      value: mapKeys(value[key], map),
      enumerable: true,
      configurable: true,
      writable: true,
    });
  }
  return mapped;
}

/** Tells whether encoded data may hold a key that needs care; cheap and rarely true. */
export function mayHoldProtoKey(bytes: Buffer): boolean {
  return bytes.includes(RENAMED_KEY);
}

/** Returns the stored form of a key. */
export function escapeKey(key: string): string {
  return ESCAPABLE.test(key) ? `${ESCAPE}${key}` : key;
}

/** Returns a copy of plain data in which the codec keeps all keys. */
export function escapeKeys(value: unknown): unknown {
  return mapKeys(value, escapeKey);
}

/** Reverses {@link escapeKeys}. */
export function unescapeKeys(value: unknown): unknown {
  return mapKeys(value, (key) => (ESCAPED.test(key) ? key.slice(ESCAPE.length) : key));
}
