/**
 * Returns the largest value that a majority has reached.
 *
 * @param values - One value for each voter, at least one.
 */
export function majorityValue(values: number[]): number {
  const descending = [...values].sort((a, b) => b - a);
  return descending[Math.floor(values.length / 2)]!;
}

/** Tells whether `count` voters of `total` are a majority. */
export function isMajority(count: number, total: number): boolean {
  return count > total / 2;
}
