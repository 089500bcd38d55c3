/** Formats rows as a Markdown table; the first row contains the column names. */
export function formatTable(rows: readonly (readonly (string | number)[])[]): string {
  const [head = [], ...body] = rows;
  const lines = [head, head.map(() => '---'), ...body];
  return `${lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n')}\n`;
}
