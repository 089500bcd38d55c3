/** Returns the last item of a list. */
export function lastOf<T>(items: readonly T[]): T | undefined {
  return items[items.length - 1];
}
