/** Returns the last item of an array, or undefined if it is empty. */
export function lastOf<T>(items: readonly T[]): T | undefined {
  return items[items.length - 1];
}
