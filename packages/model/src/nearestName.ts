/** Returns the edit distance of `a` and `b`; a swap of adjacent characters counts as one edit. */
function editDistance(a: string, b: string): number {
  let secondLast: number[] = [];
  let last = Array.from({ length: b.length + 1 }, (_, j) => j);
  for (let i = 1; i <= a.length; i++) {
    const current = [i];
    for (let j = 1; j <= b.length; j++) {
      const cost = a[i - 1] === b[j - 1] ? 0 : 1;
      let best = Math.min(last[j]! + 1, current[j - 1]! + 1, last[j - 1]! + cost);
      const swapped = i > 1 && j > 1 && a[i - 1] === b[j - 2] && a[i - 2] === b[j - 1];
      if (swapped) best = Math.min(best, secondLast[j - 2]! + 1);
      current.push(best);
    }
    secondLast = last;
    last = current;
  }
  return last[b.length]!;
}

/** Removes case and separators, which are ignored when names are compared. */
function normalise(name: string): string {
  return name.toLowerCase().replace(/[-_.\s]/g, '');
}

/** Longer names are truncated, because the comparison takes quadratic time. */
const MAX_COMPARED_LENGTH = 64;

/**
 * Returns the name with the smallest edit distance to `given`.
 *
 * @returns `undefined` if every name differs in more than about a third of its characters.
 */
export function findNearestName(given: string, names: Iterable<string>): string | undefined {
  const wanted = normalise(given.slice(0, MAX_COMPARED_LENGTH));
  let nearest: string | undefined;
  let nearestDistance = Infinity;
  for (const name of names) {
    const candidate = normalise(name.slice(0, MAX_COMPARED_LENGTH));
    const maxDistance = Math.max(1, Math.floor(Math.max(wanted.length, candidate.length) / 3));
    if (Math.abs(wanted.length - candidate.length) > maxDistance) continue;
    const distance = editDistance(wanted, candidate);
    if (distance <= maxDistance && distance < nearestDistance) {
      nearest = name;
      nearestDistance = distance;
    }
  }
  return nearest;
}

/** Returns `; did you mean "x"?` with the nearest name, or an empty string if there is none. */
export function suggestName(given: string, names: Iterable<string>): string {
  const nearest = findNearestName(given, names);
  return nearest === undefined ? '' : `; did you mean "${nearest}"?`;
}
