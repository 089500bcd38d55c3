import { readFileSync } from 'node:fs';

/** Separates the fields of an entry: test, command with seed, observation, issue. */
const FIELD_SEPARATOR = '|';

/**
 * Reads the names of the tests that are known to fail from KNOWN-RED.txt, which has one entry per
 * line.
 *
 * @param file - Path of the list; a missing file counts as an empty list.
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
    .map((line) => line.split(FIELD_SEPARATOR)[0]!.trim());
}
