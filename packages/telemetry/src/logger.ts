/** Severity of a log record, lowest first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** Severity of a log record. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Structured data of a log record; errors are written with their causes. */
export type LogFields = Record<string, unknown>;

/** Writes log records. Keys, tokens and authorization headers are redacted in all of them. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  /** Tells whether records of a level are written, to avoid the work of building them. */
  isEnabled(level: LogLevel): boolean;
  /** Returns a logger that adds fields such as `requestId` to each of its records. */
  child(fields: LogFields): Logger;
}
