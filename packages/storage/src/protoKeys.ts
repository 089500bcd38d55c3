/** Key that the msgpack decoder renames to protect prototypes. */
const PROTO_KEY = '__proto__';

/** Prefix of such keys in stored data; a key that already has the prefix gets another one. */
const ESCAPE_PREFIX = '~';

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
    // Assigning to `__proto__` would replace the prototype.
    Object.defineProperty(mapped, map(key), {
      value: mapKeys(value[key], map),
      enumerable: true,
      configurable: true,
      writable: true,
    });
  }
  return mapped;
}

/** Returns whether encoded data may contain a key that needs escaping; cheap and rarely true. */
export function mayContainProtoKey(bytes: Buffer): boolean {
  return bytes.includes(PROTO_KEY);
}

/** Returns the stored form of a key. */
export function escapeKey(key: string): string {
  return ESCAPABLE.test(key) ? `${ESCAPE_PREFIX}${key}` : key;
}

/** Returns a copy of plain data with escaped keys, which the codec preserves. */
export function escapeKeys(value: unknown): unknown {
  return mapKeys(value, escapeKey);
}

/** Reverses {@link escapeKeys}. */
export function unescapeKeys(value: unknown): unknown {
  return mapKeys(value, (key) => (ESCAPED.test(key) ? key.slice(ESCAPE_PREFIX.length) : key));
}
