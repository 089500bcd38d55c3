/** Memory of a value besides its text, and of a character of a text. */
const BYTES_PER_VALUE = 32;
const BYTES_PER_CHARACTER = 2;

/** Estimates the memory of a value that was parsed from JSON, in bytes. */
export function estimateMemory(value: unknown): number {
  if (typeof value === 'string') return BYTES_PER_VALUE + value.length * BYTES_PER_CHARACTER;
  if (typeof value !== 'object' || value === null) return BYTES_PER_VALUE;
  let bytes = BYTES_PER_VALUE;
  for (const [name, item] of Object.entries(value)) {
    bytes += BYTES_PER_VALUE + name.length * BYTES_PER_CHARACTER + estimateMemory(item);
  }
  return bytes;
}
