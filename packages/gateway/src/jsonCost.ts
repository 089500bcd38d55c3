import { RefusalError } from '@lagoongap/model/refusalError.js';

/** Size of a JSON text once it is parsed. */
export interface JsonSize {
  /** Number of values, and of names of properties. */
  values: number;
  /** Largest number of nested lists and objects. */
  depth: number;
}

/** Limits of a JSON text, checked before it is parsed. */
export interface JsonLimits {
  maxValues: number;
  maxDepth: number;
}

/** A document of the largest configuration has a tenth of the values, and a depth of 4. */
export const DEFAULT_JSON_LIMITS: JsonLimits = { maxValues: 200_000, maxDepth: 64 };

/** Memory of a parsed value with the copy that validation makes. */
const BYTES_PER_VALUE = 128;

/** Copies of a text that are held at once: received, decoded, forwarded. */
const COPIES_PER_BYTE = 4;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const COLON = 0x3a;
const LIST_START = 0x5b;
const LIST_END = 0x5d;
const OBJECT_START = 0x7b;
const OBJECT_END = 0x7d;

/** Returns the index of the quote that ends a string, or the end of the text. */
function findStringEnd(text: Buffer, start: number): number {
  let end = text.indexOf(QUOTE, start);
  while (end >= 0) {
    let backslashes = 0;
    while (text[end - 1 - backslashes] === BACKSLASH) backslashes += 1;
    if (backslashes % 2 === 0) return end;
    end = text.indexOf(QUOTE, end + 1);
  }
  return text.length;
}

/** Measures a JSON text without parsing it; a text that is not JSON has some size as well. */
export function measureJson(text: Buffer): JsonSize {
  let values = text.length > 0 ? 1 : 0;
  let depth = 0;
  let maxDepth = 0;
  for (let at = 0; at < text.length; at += 1) {
    switch (text[at]) {
      case QUOTE:
        at = findStringEnd(text, at + 1);
        break;
      case COMMA:
      case COLON:
        values += 1;
        break;
      case LIST_START:
      case OBJECT_START:
        values += 1;
        depth += 1;
        if (depth > maxDepth) maxDepth = depth;
        break;
      case LIST_END:
      case OBJECT_END:
        depth -= 1;
        break;
      default:
    }
  }
  return { values, depth: maxDepth };
}

/** Estimates the memory of a request with a JSON body until it is answered, in bytes. */
export function estimateCost(bytes: number, { values }: JsonSize): number {
  return bytes * COPIES_PER_BYTE + values * BYTES_PER_VALUE;
}

/** Refuses a JSON text that is larger when parsed than any valid one. */
export function checkJsonSize({ values, depth }: JsonSize, limits: JsonLimits): void {
  const { maxValues, maxDepth } = limits;
  const fault =
    depth > maxDepth
      ? `more than ${maxDepth} nested lists and objects`
      : values > maxValues && `more than ${maxValues} values`;
  if (!fault) return;
  throw new RefusalError({
    type: 'invalid-input',
    runState: 'not-run',
    message: `the body has ${fault}`,
  });
}
