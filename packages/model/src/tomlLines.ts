/** Path from the root of a document to a value: table keys and array indexes. */
export type TomlPath = (string | number)[];

/** Characters that terminate a number, boolean or date. */
const BARE_VALUE_END = /[,\]}#\n]/;

const BYTE_ORDER_MARK = '\uFEFF';

const BARE_KEY = /[A-Za-z0-9_-]/;

/** Formats a path for messages, such as `added.teams[0].share`. */
export function formatTomlPath(path: readonly PropertyKey[]): string {
  let text = '';
  for (const step of path) {
    if (typeof step === 'number') text += `[${step}]`;
    else text += text === '' ? String(step) : `.${String(step)}`;
  }
  return text;
}

/**
 * Maps each key, table and array element of a TOML text to its line. The scan is recursive, so the
 * text must already have been accepted by a TOML parser that limits the nesting depth.
 */
export class TomlLines {
  private readonly lines = new Map<string, number>();
  private readonly tableCounts = new Map<string, number>();
  private position = 0;
  private line = 1;

  constructor(private readonly text: string) {
    if (text.startsWith(BYTE_ORDER_MARK)) this.position = 1;
    this.scanDocument();
  }

  /** Returns the line of a path, or of its closest ancestor in the text; 0 if neither exists. */
  locate(path: readonly PropertyKey[]): number {
    for (let { length } = path; length > 0; length--) {
      const line = this.lines.get(JSON.stringify(path.slice(0, length)));
      if (line !== undefined) return line;
    }
    return 0;
  }

  private record(path: TomlPath): void {
    const key = JSON.stringify(path);
    if (!this.lines.has(key)) this.lines.set(key, this.line);
  }

  private peek(length = 1): string {
    return this.text.slice(this.position, this.position + length);
  }

  private advance(count = 1): void {
    for (let i = 0; i < count && this.position < this.text.length; i++) {
      if (this.text[this.position] === '\n') this.line += 1;
      this.position += 1;
    }
  }

  /** Skips whitespace and comments, and also newlines if `newlines` is set. */
  private skipBlanks(newlines: boolean): void {
    while (this.position < this.text.length) {
      const char = this.peek();
      if (char === '#') {
        while (this.position < this.text.length && this.peek() !== '\n') this.advance();
      } else if (char === ' ' || char === '\t' || char === '\r' || (newlines && char === '\n')) {
        this.advance();
      } else {
        return;
      }
    }
  }

  private scanDocument(): void {
    let table: TomlPath = [];
    for (;;) {
      this.skipBlanks(true);
      if (this.position >= this.text.length) return;
      const { position: start } = this;
      if (this.peek(2) === '[[') {
        this.advance(2);
        table = this.openElement(this.scanKey());
        this.advance(2);
      } else if (this.peek() === '[') {
        this.advance();
        table = this.resolve(this.scanKey());
        this.recordAncestors(table, 0);
        this.advance();
      } else {
        this.scanPair(table);
      }
      if (this.position === start) this.advance();
    }
  }

  /**
   * Resolves header keys to a path: an array of tables is followed by its latest element's index.
   */
  private resolve(keys: string[]): TomlPath {
    const path: TomlPath = [];
    for (const key of keys) {
      path.push(key);
      const count = this.tableCounts.get(JSON.stringify(path));
      if (count !== undefined) path.push(count - 1);
    }
    return path;
  }

  private openElement(keys: string[]): TomlPath {
    const array = [...this.resolve(keys.slice(0, -1)), ...keys.slice(-1)];
    this.recordAncestors(array, 0);
    const key = JSON.stringify(array);
    const index = this.tableCounts.get(key) ?? 0;
    this.tableCounts.set(key, index + 1);
    const path = [...array, index];
    this.record(path);
    return path;
  }

  private recordAncestors(path: TomlPath, from: number): void {
    for (let length = from + 1; length <= path.length; length++) this.record(path.slice(0, length));
  }

  private scanPair(table: TomlPath): void {
    const path = [...table, ...this.scanKey()];
    this.recordAncestors(path, table.length);
    this.skipBlanks(false);
    if (this.peek() === '=') this.advance();
    this.skipBlanks(false);
    this.scanValue(path);
  }

  private scanKey(): string[] {
    const keys: string[] = [];
    for (;;) {
      this.skipBlanks(false);
      const char = this.peek();
      if (char === '"' || char === "'") keys.push(this.scanString());
      else keys.push(this.scanBareKey());
      this.skipBlanks(false);
      if (this.peek() !== '.') return keys;
      this.advance();
    }
  }

  private scanBareKey(): string {
    const start = this.position;
    while (BARE_KEY.test(this.peek())) this.advance();
    return this.text.slice(start, this.position);
  }

  private scanValue(path: TomlPath): void {
    const char = this.peek();
    if (char === '"' || char === "'") this.scanString();
    else if (char === '[') this.scanArray(path);
    else if (char === '{') this.scanInlineTable(path);
    else
      while (this.position < this.text.length && !BARE_VALUE_END.test(this.peek())) this.advance();
  }

  private scanArray(path: TomlPath): void {
    this.advance();
    for (let index = 0; this.position < this.text.length; index++) {
      this.skipBlanks(true);
      if (this.peek() === ']') break;
      const element = [...path, index];
      this.record(element);
      this.scanValue(element);
      this.skipBlanks(true);
      if (this.peek() !== ',') break;
      this.advance();
    }
    this.advance();
  }

  private scanInlineTable(path: TomlPath): void {
    this.advance();
    while (this.position < this.text.length) {
      this.skipBlanks(true);
      if (this.peek() === '}') break;
      this.scanPair(path);
      this.skipBlanks(true);
      if (this.peek() !== ',') break;
      this.advance();
    }
    this.advance();
  }

  /** Skips a string of any of the four TOML forms and returns its value for use as a key. */
  private scanString(): string {
    const quote = this.peek();
    const delimiter = this.peek(3) === quote.repeat(3) ? quote.repeat(3) : quote;
    this.advance(delimiter.length);
    const start = this.position;
    while (this.position < this.text.length && this.peek(delimiter.length) !== delimiter) {
      this.advance(quote === '"' && this.peek() === '\\' ? 2 : 1);
    }
    const raw = this.text.slice(start, this.position);
    this.advance(delimiter.length);
    // A multi-line string may end with up to two quotes directly before its closing delimiter.
    if (delimiter.length === 3) while (this.peek() === quote) this.advance();
    return quote === '"' ? TomlLines.unescape(raw) : raw;
  }

  private static unescape(raw: string): string {
    try {
      return JSON.parse(`"${raw}"`) as string;
    } catch {
      return raw;
    }
  }
}
