import assert from 'node:assert/strict';

import { type DataTable, Given, Then } from '@cucumber/cucumber';
import { type JournalEntry, renderJournal } from '@lagoongap/bench/journalTable.js';

interface ResultsWorld {
  entries: Map<string, JournalEntry>;
}

interface JournalRow {
  id: string;
  begun: string;
  command: string;
  day: string;
  worth: string;
  rules: string;
  gate: string;
}

/** Columns that the scenarios check, except the last one. */
const COLUMNS = ['begun', 'command', 'day', 'worth, mean', 'lowest', 'broken rules'];

/** Last column that the scenarios check. */
const GATE_COLUMN = 'short of the gate';

function toRules(text: string): Record<string, number> {
  const [rule, count] = text.split(' ');
  return rule ? { [rule]: Number(count) } : {};
}

function splitCells(row: string): string[] {
  return row
    .split('|')
    .slice(1, -1)
    .map((cell) => cell.trim());
}

Given('the journal entries', function addEntries(this: ResultsWorld, table: DataTable) {
  this.entries = new Map();
  for (const row of table.hashes() as unknown as JournalRow[]) {
    const entry: JournalEntry = this.entries.get(row.id) ?? {
      id: row.id,
      at: [row.begun],
      cmd: row.command,
      site: 'site',
      head: '0123456789',
      why: null,
      score: null,
      days: [],
    };
    this.entries.set(row.id, entry);
    if (row.day === '') continue;
    const rules = toRules(row.rules);
    entry.days.push({ name: row.day, G: Number(row.worth), rules, gate: row.gate === 'yes' });
  }
});

Then('the journal table has the rows', function check(this: ResultsWorld, table: DataTable) {
  const [head = '', , ...rows] = renderJournal([...this.entries.values()])
    .trim()
    .split('\n');
  const headings = splitCells(head);
  const positions = [...COLUMNS, GATE_COLUMN].map((name) => headings.indexOf(name));
  const found = rows.map((row) => {
    const cells = splitCells(row);
    return positions.map((position) => cells[position]).join(' ; ');
  });
  assert.deepEqual(
    found,
    table.raw().map(([text]) => text),
  );
});
