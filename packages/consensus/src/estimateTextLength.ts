/** Assumed length of a number, a boolean or null. */
const SCALAR_LENGTH = 8;

/** Length of the quotes and separators of a string or a property. */
const PUNCTUATION_LENGTH = 4;

/** Estimates the length of the JSON text of a value without encoding it. */
export function estimateTextLength(value: unknown): number {
  if (typeof value === 'string') return value.length + PUNCTUATION_LENGTH;
  if (typeof value !== 'object' || value === null) return SCALAR_LENGTH;
  let length = PUNCTUATION_LENGTH;
  if (Array.isArray(value)) {
    for (const item of value) length += estimateTextLength(item);
    return length;
  }
  for (const [key, item] of Object.entries(value)) {
    length += key.length + PUNCTUATION_LENGTH + estimateTextLength(item);
  }
  return length;
}
