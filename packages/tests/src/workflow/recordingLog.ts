import type { Log, LogFields } from '@lagoongap/model/log.js';

/** A line that was logged. */
export interface RecordedLine {
  message: string;
  fields: LogFields;
  /** Time on the fake clock. */
  atMs: number;
}

/** Logger that keeps its lines for a test. */
export class RecordingLog implements Log {
  readonly lines: RecordedLine[] = [];

  debug(): void {}

  info(message: string, fields: LogFields = {}): void {
    this.lines.push({ message, fields, atMs: performance.now() });
  }

  notice(message: string, fields?: LogFields): void {
    this.info(message, fields);
  }

  warn(message: string, fields?: LogFields): void {
    this.info(message, fields);
  }

  error(message: string, fields?: LogFields): void {
    this.info(message, fields);
  }

  /** Returns the lines with a message. */
  find(message: string): RecordedLine[] {
    return this.lines.filter((line) => line.message === message);
  }
}
