/** Returns `value` if it is an Error, otherwise an Error with its string form as message. */
export function toError(value: unknown): Error {
  return value instanceof Error ? value : new Error(String(value));
}
