/**
 * Regenerates the tables between the markers of docs/CAPACITY.md from the JSON file of a run:
 *
 *   npm run bench -- --json figures.json
 *   node packages/bench/lib/renderCapacity.js figures.json
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import type { BenchRun, BenchTable } from './benchReport.js';
import { deriveTables } from './capacityTable.js';
import { formatTable } from './markdownTable.js';

const BEGIN = '<!-- bench:begin -->';
const END = '<!-- bench:end -->';
const PAGE_PATH = join(import.meta.dirname, '..', '..', '..', 'docs', 'CAPACITY.md');

function formatSection(title: string, tables: BenchTable[]): string {
  const parts = tables.map((table) => `#### ${table.title}\n\n${formatTable(table.rows)}`);
  return `### ${title}\n\n${parts.join('\n')}`;
}

/** Returns the generated part of the page. */
function formatRun(run: BenchRun): string {
  const { date, machine, loadBefore, loadAfter, label, reports, failed } = run;
  const head = [
    `Run of ${date}, Node.js ${machine.node}, ${machine.cores} cores (${machine.model}),`,
    `${machine.memoryMib} MiB; load average ${loadBefore.toFixed(1)} before and`,
    `${loadAfter.toFixed(1)} after the run.${label === undefined ? '' : ` **${label}**`}`,
  ].join('\n');
  const sections = reports.map(({ command, seconds, tables }) =>
    formatSection(`\`${command}\` (${seconds.toFixed(0)} s)`, tables),
  );
  const missing = failed.map(({ name, reason }) => `Not measured: ${name}: ${reason}.`);
  return [
    head,
    ...missing,
    formatSection('Worked out from the run', deriveTables(run)),
    ...sections,
  ].join('\n\n');
}

const [file] = process.argv.slice(2);
if (file === undefined) {
  process.stderr.write('usage: renderCapacity.js <file written by npm run bench -- --json>\n');
  process.exit(2);
}
const run = JSON.parse(readFileSync(file, 'utf8')) as BenchRun;
const page = readFileSync(PAGE_PATH, 'utf8');
const begin = page.indexOf(BEGIN);
const end = page.indexOf(END);
if (begin < 0 || end < begin) throw new Error(`${PAGE_PATH} lacks the markers ${BEGIN} and ${END}`);
const text = `${page.slice(0, begin)}${BEGIN}\n\n${formatRun(run).trim()}\n\n${page.slice(end)}`;
writeFileSync(PAGE_PATH, text);
