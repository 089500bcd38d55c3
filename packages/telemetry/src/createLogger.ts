import { inspect } from 'node:util';

import { Logger as Tslog } from 'tslog';

import type { LogFields, Logger, LogLevel } from './logger.js';
import { TslogLogger } from './tslogLogger.js';

/** Destination of log records. */
export interface LogStream {
  write(text: string, level: LogLevel): unknown;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Minimum level of written records; `info` by default. */
  level?: LogLevel;
  /** One JSON object per line, or human-readable text; `json` by default. */
  format?: 'json' | 'pretty';
  /** Fields added to every record, such as `instance`. */
  fields?: LogFields;
  /** Destination of the records; standard error by default. */
  stream?: LogStream;
}

/** Record as passed to transports by tslog. */
interface TslogRecord {
  0?: string;
  1?: LogFields;
  _meta: { date: Date; logLevelName: string };
}

const STANDARD_ERROR: LogStream = { write: (text) => process.stderr.write(text) };

/** Line length in characters above which fields are broken over several lines. */
const MAX_PRETTY_LINE_LENGTH = 120;

function formatJson(record: TslogRecord): string {
  const { date, logLevelName } = record._meta;
  const head = { time: date.toISOString(), level: logLevelName.toLowerCase(), message: record[0] };
  // The head comes last so that fields cannot override time, level and message.
  return `${JSON.stringify({ ...record[1], ...head })}\n`;
}

function formatPretty(record: TslogRecord): string {
  const { date, logLevelName } = record._meta;
  const fields = record[1] ?? {};
  const hasFields = Object.keys(fields).length > 0;
  const options = { depth: null, breakLength: MAX_PRETTY_LINE_LENGTH };
  const text = hasFields ? ` ${inspect(fields, options)}` : '';
  return `${date.toISOString()} ${logLevelName.padEnd(5)} ${record[0]}${text}\n`;
}

/** Creates the logger of a process. */
export function createLogger(opts: LoggerOptions = {}): Logger {
  const { level = 'info', format = 'json', fields = {}, stream = STANDARD_ERROR } = opts;
  const formatRecord = format === 'json' ? formatJson : formatPretty;
  const tslog = new Tslog<unknown>({
    type: 'hidden',
    hideLogPositionForProduction: true,
    // Records are redacted plain data already, so that tslog need not copy and mask them again.
    overwrite: {
      mask: (args) => args,
      toLogObj: ([message, recordFields]) => ({ 0: message, 1: recordFields }),
      addMeta: (record, _, logLevelName) =>
        Object.assign(record as object, { _meta: { date: new Date(), logLevelName } }) as never,
    },
    attachedTransports: [
      (transported) => {
        const record = transported as unknown as TslogRecord;
        stream.write(formatRecord(record), record._meta.logLevelName.toLowerCase() as LogLevel);
      },
    ],
  });
  return new TslogLogger(tslog, level, fields);
}
