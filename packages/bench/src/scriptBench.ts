import { execFile } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';

import type { BenchTable } from './benchReport.js';

const run = promisify(execFile);
const MAX_OUTPUT_BYTES = 16 * 1024 * 1024;

function parseCells(line: string): string[] {
  const cells = line.split('|').slice(1, -1);
  return cells.map((cell) => cell.trim());
}

/** Parses the Markdown tables of a text; a line of text before a table is its title. */
function parseTables(lines: string[], title: string): BenchTable[] {
  const tables: BenchTable[] = [];
  let heading = title;
  let current: BenchTable | undefined;
  for (const line of lines) {
    if (!line.startsWith('|')) {
      current = undefined;
      if (line.trim() !== '') heading = `${title}: ${line.replace(/^#+\s*/, '').trim()}`;
    } else if (!/^[|\s:-]+$/.test(line)) {
      if (current === undefined) {
        current = { title: heading, rows: [] };
        tables.push(current);
      }
      current.rows.push(parseCells(line));
    }
  }
  return tables;
}

/** Parses lines of JSON objects into one table. */
function parseObjects(lines: string[], title: string): BenchTable {
  const objects = lines.map((line) => JSON.parse(line) as Record<string, string | number>);
  const rows = objects.map(({ measurement, ...figures }) => {
    const texts = Object.entries(figures).map(([name, value]) => `${name} ${value}`);
    return [String(measurement), texts.join(', ')];
  });
  return { title, rows: [['measurement', 'figures'], ...rows] };
}

function parseOutput(text: string, title: string): BenchTable[] {
  const lines = text.split('\n');
  if (lines.some((line) => line.startsWith('|'))) return parseTables(lines, title);
  return [
    parseObjects(
      lines.filter((line) => line.trim() !== ''),
      title,
    ),
  ];
}

/** Runs a measurement script in a child process and parses its output. */
export async function measureScript(
  script: string,
  title: string,
  args: string[],
  writesJson: boolean,
): Promise<{ tables: BenchTable[]; figures: Record<string, unknown> }> {
  const file = join(import.meta.dirname, script);
  if (!existsSync(file)) throw new Error(`${script} is missing from the build`);
  const folder = mkdtempSync(join(tmpdir(), 'lagoongap-bench-'));
  try {
    const json = join(folder, 'figures.json');
    const all = [file, ...args, ...(writesJson ? ['--json', json] : [])];
    const { stdout } = await run(process.execPath, all, { maxBuffer: MAX_OUTPUT_BYTES });
    const figures = writesJson ? { results: JSON.parse(readFileSync(json, 'utf8')) } : {};
    return { tables: parseOutput(stdout, title), figures };
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}
