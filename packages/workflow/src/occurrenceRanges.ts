/** Disjoint ranges of occurrences in ascending order; each includes its first number only. */
export type OccurrenceRanges = [from: number, to: number][];

/** Returns the position of the last range that begins at or before an occurrence, or -1. */
function findRange(ranges: OccurrenceRanges, occurrence: number): number {
  let low = 0;
  let high = ranges.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (ranges[middle]![0] <= occurrence) low = middle + 1;
    else high = middle;
  }
  return low - 1;
}

/** Returns whether the ranges contain an occurrence. */
export function includesOccurrence(ranges: OccurrenceRanges, occurrence: number): boolean {
  const range = ranges[findRange(ranges, occurrence)];
  return range !== undefined && occurrence < range[1];
}

/** Returns the lowest number from `occurrence` on that the ranges do not contain. */
export function skipOccurrences(ranges: OccurrenceRanges, occurrence: number): number {
  const range = ranges[findRange(ranges, occurrence)];
  return range !== undefined && occurrence < range[1] ? range[1] : occurrence;
}

/** Adds an occurrence to the ranges, and joins those that touch. */
export function addOccurrence(ranges: OccurrenceRanges, occurrence: number): void {
  if (includesOccurrence(ranges, occurrence)) return;
  const position = findRange(ranges, occurrence);
  const previous = ranges[position];
  const next = ranges[position + 1];
  const isAdjacentToNext = next?.[0] === occurrence + 1;
  if (previous?.[1] === occurrence) {
    previous[1] = isAdjacentToNext ? next[1] : occurrence + 1;
    if (isAdjacentToNext) ranges.splice(position + 1, 1);
  } else if (isAdjacentToNext) {
    next[0] = occurrence;
  } else {
    ranges.splice(position + 1, 0, [occurrence, occurrence + 1]);
  }
}
