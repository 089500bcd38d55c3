/** Returns the last item, or undefined if there is none. */
export function lastOf<T>(items: readonly T[]): T | undefined {
  return items[items.length - 1];
}
