/** Writable stream, such as standard output. */
export interface TextStream {
  write(text: string | Buffer): unknown;
}

/** Writes results to standard output, as text or one JSON document, and notices to stderr. */
export class Output {
  constructor(
    private readonly stdout: TextStream,
    private readonly stderr: TextStream,
    readonly json: boolean,
  ) {}

  /** Writes the result of a command: data with `--json`, otherwise text. */
  result(data: unknown, text: string): void {
    this.stdout.write(this.json ? `${JSON.stringify(data)}\n` : `${text.trimEnd()}\n`);
  }

  /** Writes a result unchanged. */
  raw(data: Buffer): void {
    this.stdout.write(data);
  }

  /** Writes a message that is not part of the result. */
  notice(text: string): void {
    this.stderr.write(`${text.trimEnd()}\n`);
  }
}

/** Formats rows under headings in aligned columns. */
export function formatTable(headings: string[], rows: unknown[][]): string {
  const cells = [headings, ...rows.map((row) => row.map((cell) => String(cell ?? '-')))];
  const widths = headings.map((_, column) =>
    Math.max(...cells.map((row) => row[column]?.length ?? 0)),
  );
  return cells
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
