import { encodePayload } from './payloadCodec.js';
import { escapeKey } from './protoKeys.js';

/** Array elements that are encoded without a pause; about a millisecond of work. */
const PIECE_ITEMS = 500;

/** Levels of plain objects that are looked into for long arrays. */
const MAX_DEPTH = 3;

const MAP32 = 0xdf;
const ARRAY32 = 0xdd;
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

function* encodePieces(value: unknown, depth: number): Generator<Buffer> {
  if (Array.isArray(value) && value.length > PIECE_ITEMS) {
    yield createHeader(ARRAY32, value.length);
    for (let i = 0; i < value.length; i += PIECE_ITEMS) {
      yield Buffer.concat(value.slice(i, i + PIECE_ITEMS).map((item) => encodePayload(item)));
    }
  } else if (isPlainObject(value) && depth < MAX_DEPTH) {
    const entries = Object.entries(value).filter(([, field]) => field !== undefined);
    yield createHeader(MAP32, entries.length);
    for (const [key, field] of entries) {
      yield encodePayload(escapeKey(key));
      yield* encodePieces(field, depth + 1);
    }
  } else {
    yield encodePayload(value);
  }
}

/**
 * Encodes a large value as MessagePack and lets the event loop run between pieces, so
 * that a leader keeps its validity meanwhile. The value must not change until then.
 */
export async function encodePiecewise(value: unknown): Promise<Buffer> {
  const pieces: Buffer[] = [];
  for (const piece of encodePieces(value, 0)) {
    pieces.push(piece);
    if (piece.length > HEADER_BYTES) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
  return Buffer.concat(pieces);
}
