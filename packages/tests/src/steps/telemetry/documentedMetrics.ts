import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';

/** Reads the rows of a table of metrics, each as name, type, labels and meaning. */
export function readDocumentedMetrics(file: string): string[] {
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('| `lagoongap_'))
    .map((line) => line.split('|').map((cell) => cell.replaceAll('`', '').trim()))
    .map((cells) => {
      assert.ok(cells[5], `${cells[1]} does not say which values need attention`);
      return cells.slice(1, 5).join(' | ');
    });
}
