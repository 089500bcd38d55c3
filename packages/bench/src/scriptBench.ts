import { execFile } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';

import type { BenchTable } from './benchReport.js';

const run = promisify(execFile);
const MAX_OUTPUT_BYTES = 16 * 1024 * 1024;

/** Reads a Markdown table or lines of JSON objects. */
function parseRows(text: string): (string | number)[][] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  const isTable = lines.some((line) => line.startsWith('|'));
  if (isTable) {
    return lines
      .filter((line) => line.startsWith('|') && !/^[|\s:-]+$/.test(line))
      .map((line) =>
        line
          .split('|')
          .slice(1, -1)
          .map((cell) => cell.trim()),
      );
  }
  const objects = lines.map((line) => JSON.parse(line) as Record<string, string | number>);
  return [
    ['measurement', 'figures'],
    ...objects.map(({ measurement, ...figures }) => [
      String(measurement),
      Object.entries(figures)
        .map(([name, value]) => `${name} ${value}`)
        .join(', '),
    ]),
  ];
}

/** Runs a measurement that is a script of its own and takes up its output. */
export async function measureScript(
  script: string,
  title: string,
  args: string[],
  writesJson: boolean,
): Promise<{ tables: BenchTable[]; figures: Record<string, unknown> }> {
  const file = join(import.meta.dirname, script);
  if (!existsSync(file)) throw new Error(`${script} is not part of this build`);
  const folder = mkdtempSync(join(tmpdir(), 'lagoongap-bench-'));
  try {
    const json = join(folder, 'figures.json');
    const all = [file, ...args, ...(writesJson ? ['--json', json] : [])];
    const { stdout } = await run(process.execPath, all, { maxBuffer: MAX_OUTPUT_BYTES });
    const figures = writesJson ? { results: JSON.parse(readFileSync(json, 'utf8')) } : {};
    return { tables: [{ title, rows: parseRows(stdout) }], figures };
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}
