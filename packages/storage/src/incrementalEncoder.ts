import { encodePayload } from './payloadCodec.js';
import { escapeKey } from './protoKeys.js';

/** Number of array elements encoded per event-loop iteration; takes about a millisecond. */
const CHUNK_ITEMS = 500;

/** Depth up to which plain objects are searched for long arrays. */
const MAX_DEPTH = 3;

const MSGPACK_MAP32 = 0xdf;
const MSGPACK_ARRAY32 = 0xdd;
const HEADER_BYTES = 5;

function createHeader(type: number, count: number): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt8(type, 0);
  header.writeUInt32BE(count, 1);
  return header;
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype
  );
}

function* encodeChunks(value: unknown, depth: number): Generator<Buffer> {
  if (Array.isArray(value) && value.length > CHUNK_ITEMS) {
    yield createHeader(MSGPACK_ARRAY32, value.length);
    for (let i = 0; i < value.length; i += CHUNK_ITEMS) {
      yield Buffer.concat(value.slice(i, i + CHUNK_ITEMS).map((item) => encodePayload(item)));
    }
  } else if (isPlainObject(value) && depth < MAX_DEPTH) {
    const entries = Object.entries(value).filter(([, field]) => field !== undefined);
    yield createHeader(MSGPACK_MAP32, entries.length);
    for (const [key, field] of entries) {
      yield encodePayload(escapeKey(key));
      yield* encodeChunks(field, depth + 1);
    }
  } else {
    yield encodePayload(value);
  }
}

/**
 * Encodes a large value as msgpack and yields to the event loop between chunks, so that a leader
 * keeps its validity meanwhile. The value must not be modified until the encoding is complete.
 */
export async function encodeIncrementally(value: unknown): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for (const chunk of encodeChunks(value, 0)) {
    chunks.push(chunk);
    if (chunk.length > HEADER_BYTES) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
  return Buffer.concat(chunks);
}
