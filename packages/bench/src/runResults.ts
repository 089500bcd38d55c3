import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';

import { type JournalEntry, renderJournal } from './journalTable.js';

const FOLDER = process.argv[2] ?? 'journal';

/** Returns the entry in a file, or undefined with a remark if it cannot be read. */
async function readEntry(name: string): Promise<JournalEntry | undefined> {
  try {
    const entry = JSON.parse(await readFile(join(FOLDER, name), 'utf8')) as JournalEntry;
    if (Array.isArray(entry.days)) return entry;
    process.stderr.write(`${name} has no days and is left out\n`);
  } catch (err) {
    process.stderr.write(`${name} is left out: ${(err as Error).message}\n`);
  }
  return undefined;
}

const names = (await readdir(FOLDER)).filter((name) => name.endsWith('.json'));
const entries = await Promise.all(names.map(readEntry));
process.stdout.write(`${renderJournal(entries.filter((entry) => entry !== undefined))}\n`);
