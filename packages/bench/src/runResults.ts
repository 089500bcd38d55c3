import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';

import { type JournalEntry, renderJournal } from './journalTable.js';

const FOLDER = process.argv[2] ?? 'journal';

/** Reads a journal entry; prints a warning and returns undefined if it cannot be used. */
async function readEntry(name: string): Promise<JournalEntry | undefined> {
  try {
    const entry = JSON.parse(await readFile(join(FOLDER, name), 'utf8')) as JournalEntry;
    if (Array.isArray(entry.days)) return entry;
    process.stderr.write(`skipped ${name}: the entry has no days\n`);
  } catch (err) {
    process.stderr.write(`skipped ${name}: ${(err as Error).message}\n`);
  }
  return undefined;
}

const names = (await readdir(FOLDER)).filter((name) => name.endsWith('.json'));
const entries = await Promise.all(names.map(readEntry));
process.stdout.write(`${renderJournal(entries.filter((entry) => entry !== undefined))}\n`);
