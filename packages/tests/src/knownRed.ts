import { readFileSync } from 'node:fs';

/** Separates the parts of an entry: test, command with seed, observation, issue. */
const PART_SEPARATOR = '|';

/**
 * Reads the names of tests that are known to fail from KNOWN-RED.txt, one entry a line.
 *
 * @param file - Path of the list; a missing file means an empty list.
 */
export function readKnownRed(file: string): string[] {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === 'ENOENT') return [];
    throw err;
  }
  return text
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith('#'))
    .map((line) => line.split(PART_SEPARATOR)[0]!.trim());
}
