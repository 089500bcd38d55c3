/** Severities of log records, lowest first. */
export const LOG_LEVELS = ['debug', 'info', 'notice', 'warn', 'error'] as const;

/** Severity of a log record. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Structured data of a log record; errors are logged with their causes. */
export type LogFields = Record<string, unknown>;

/** Writes log records; keys, tokens and authorization headers are redacted. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  /** A normal but significant event, such as a change of leader; kept when others are dropped. */
  notice(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  /** Returns whether records of a level are written, so that callers can skip building them. */
  isEnabled(level: LogLevel): boolean;
  /** Returns a logger that adds fields such as `requestId` to each record. */
  child(fields: LogFields): Logger;
}
