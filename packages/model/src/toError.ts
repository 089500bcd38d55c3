/** Returns `value` itself if it is an error, otherwise an error with its text as message. */
export function toError(value: unknown): Error {
  return value instanceof Error ? value : new Error(String(value));
}
