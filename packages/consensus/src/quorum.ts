/**
 * Returns the largest value that a majority of the voters has reached.
 *
 * @param values - One value per voter; must not be empty.
 */
export function quorumValue(values: number[]): number {
  const descending = [...values].sort((a, b) => b - a);
  return descending[Math.floor(values.length / 2)]!;
}

/** Returns whether `count` of `total` voters form a majority. */
export function isMajority(count: number, total: number): boolean {
  return count > total / 2;
}
