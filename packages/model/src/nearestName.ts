/** Number of single-character edits that turn `a` into `b`; swapped neighbours count once. */
function editDistance(a: string, b: string): number {
  let beforeLast: number[] = [];
  let last = Array.from({ length: b.length + 1 }, (_, j) => j);
  for (let i = 1; i <= a.length; i++) {
    const current = [i];
    for (let j = 1; j <= b.length; j++) {
      const cost = a[i - 1] === b[j - 1] ? 0 : 1;
      let best = Math.min(last[j]! + 1, current[j - 1]! + 1, last[j - 1]! + cost);
      const swapped = i > 1 && j > 1 && a[i - 1] === b[j - 2] && a[i - 2] === b[j - 1];
      if (swapped) best = Math.min(best, beforeLast[j - 2]! + 1);
      current.push(best);
    }
    beforeLast = last;
    last = current;
  }
  return last[b.length]!;
}

/** Names are compared without regard to case and separators. */
function normalise(name: string): string {
  return name.toLowerCase().replace(/[-_.\s]/g, '');
}

/** Longer names are cut before the comparison, which takes quadratic time. */
const MAX_COMPARED_LENGTH = 64;

/**
 * Returns the name that is most likely meant by `given`.
 *
 * @returns `undefined` if no name differs in less than about a third of its characters.
 */
export function findNearestName(given: string, names: Iterable<string>): string | undefined {
  const wanted = normalise(given.slice(0, MAX_COMPARED_LENGTH));
  let nearest: string | undefined;
  let nearestDistance = Infinity;
  for (const name of names) {
    const candidate = normalise(name.slice(0, MAX_COMPARED_LENGTH));
    const bound = Math.max(1, Math.floor(Math.max(wanted.length, candidate.length) / 3));
    if (Math.abs(wanted.length - candidate.length) > bound) continue;
    const distance = editDistance(wanted, candidate);
    if (distance <= bound && distance < nearestDistance) {
      nearest = name;
      nearestDistance = distance;
    }
  }
  return nearest;
}

/** Returns `; did you mean "x"?` for the nearest name, or an empty string. */
export function suggestName(given: string, names: Iterable<string>): string {
  const nearest = findNearestName(given, names);
  return nearest === undefined ? '' : `; did you mean "${nearest}"?`;
}
