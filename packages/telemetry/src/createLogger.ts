import { inspect } from 'node:util';

import { Logger as Tslog } from 'tslog';

import type { LogFields, Logger, LogLevel } from './logger.js';
import { TslogLogger } from './tslogLogger.js';

/** Where log records go. */
export interface LogStream {
  write(text: string): unknown;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Lowest level that is written; `info` by default. */
  level?: LogLevel;
  /** One JSON object a line, or text for people; `json` by default. */
  format?: 'json' | 'pretty';
  /** Fields of every record, such as `instance`. */
  fields?: LogFields;
  /** Receives the records; the standard error stream by default. */
  stream?: LogStream;
}

/** Record as handed over by the logging library. */
interface TslogRecord {
  0?: string;
  1?: LogFields;
  _meta: { date: Date; logLevelName: string };
}

/** Longest line before fields are broken over several lines. */
const PRETTY_WIDTH = 120;

function formatJson(record: TslogRecord): string {
  const { date, logLevelName } = record._meta;
  const head = { time: date.toISOString(), level: logLevelName.toLowerCase(), message: record[0] };
  // Fields cannot replace the time, level and message of their record.
  return `${JSON.stringify({ ...record[1], ...head })}\n`;
}

function formatPretty(record: TslogRecord): string {
  const { date, logLevelName } = record._meta;
  const fields = record[1] ?? {};
  const hasFields = Object.keys(fields).length > 0;
  const options = { depth: null, breakLength: PRETTY_WIDTH };
  const text = hasFields ? ` ${inspect(fields, options)}` : '';
  return `${date.toISOString()} ${logLevelName.padEnd(5)} ${record[0]}${text}\n`;
}

/** Creates the logger of a process. */
export function createLogger(opts: LoggerOptions = {}): Logger {
  const { level = 'info', format = 'json', fields = {}, stream = process.stderr } = opts;
  const formatRecord = format === 'json' ? formatJson : formatPretty;
  const tslog = new Tslog<unknown>({
    type: 'hidden',
    hideLogPositionForProduction: true,
    attachedTransports: [(record) => stream.write(formatRecord(record as unknown as TslogRecord))],
  });
  return new TslogLogger(tslog, level, fields);
}
